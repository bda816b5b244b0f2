//! Answers entry VMs that follow the catalogue, on a control VM.

use {
    super::{last_reports::LastReports, state::Delta},
    crate::{
        agree::Message,
        beacon::LiveEntries,
        edge::rpc::{self, UNAVAILABLE},
        policy::Policy,
        ring::Sender,
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// Name of the method that follows.
pub(super) const FOLLOW: &str = "catalog.follow";
/// Name of the method by which control VMs tell the leader whom they heard.
pub(super) const HEARD: &str = "catalog.heard";

/// Upstreams that a control VM heard: name and incarnation of each.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Rows {
    pub rows: Vec<(String, u64)>,
}

/// What a follower asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Question {
    /// Revision that it has.
    pub revision: u64,
    /// Milliseconds that the answer may wait for news.
    pub hold_ms: u64,
}

/// What a follower is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct News {
    /// What changed.
    pub delta: Delta,
    /// Peer listeners of the control VMs.
    pub control: Vec<SocketAddr>,
    /// How many entry VMs serve in each availability zone, by name.
    pub zones: Vec<(String, u32)>,
}

/// What the methods answer from.
#[derive(Clone, Debug)]
pub struct Source {
    /// The catalogue, within the configuration in force.
    pub policies: watch::Receiver<Arc<Policy>>,
    /// Whether news reach this control VM.
    pub is_current: watch::Receiver<bool>,
    /// Peer listeners of the control VMs.
    pub members: watch::Receiver<Arc<Vec<SocketAddr>>>,
    /// Entry VMs that were heard lately.
    pub entries: watch::Receiver<Arc<LiveEntries>>,
    /// Upstreams that were heard lately.
    pub last_reports: LastReports,
    /// Where orders go.
    pub ring: Sender<Message>,
}

/// Adds the methods to a peer listener's module.
///
/// # Errors
/// A method is there already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    source: Source,
) -> Result<(), RegisterMethodError> {
    let heard = source.last_reports.clone();
    module.register_method(HEARD, move |params, _, _| {
        let rows: Rows = rpc::params(&params)?;
        heard.note_all(rows.rows);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_async_method(FOLLOW, move |params, _, _| {
        let source = source.clone();
        async move {
            let question: Question = rpc::params(&params)?;
            answer(source, question).await
        }
    })?;
    Ok(())
}

async fn answer(mut source: Source, question: Question) -> Result<News, ErrorObjectOwned> {
    let hold = Duration::from_millis(question.hold_ms);
    let newer = source
        .policies
        .wait_for(|policy| policy.catalog.revision > question.revision);
    tokio::select! {
        // A closed channel leaves the last catalogue to answer from.
        _ = time::timeout(hold, newer) => {}
        Ok(_) = source.is_current.wait_for(|is_current| !is_current) => {
            let text = "no news reach this VM";
            return Err(rpc::error(UNAVAILABLE, text, ()));
        }
    }
    let catalog = Arc::clone(&source.policies.borrow().catalog);
    let control = source.members.borrow().to_vec();
    let zones = source.entries.borrow().ready_by_zone();
    Ok(News {
        delta: catalog.since(question.revision),
        control,
        zones,
    })
}
