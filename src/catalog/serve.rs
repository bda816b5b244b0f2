//! Peer methods of a control VM: updates for the entry VMs that follow the catalogue, and reports
//! forwarded by other control VMs.

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

/// Method by which a follower long-polls for changes of the catalogue.
pub(super) const FOLLOW_METHOD: &str = "catalog.follow";
/// Method by which control VMs forward to each other which upstreams reported to them.
pub(super) const HEARD_METHOD: &str = "catalog.heard";

/// Upstreams that reported to a control VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ReportedUpstreams {
    /// Name and incarnation of each.
    pub rows: Vec<(String, u64)>,
}

/// Request of a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct FollowRequest {
    /// Revision of the follower's catalogue.
    pub revision: u64,
    /// Milliseconds for which the response may be held back until there are changes.
    pub hold_ms: u64,
}

/// Response to a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowResponse {
    /// Changes after the follower's revision.
    pub delta: Delta,
    /// Peer listeners of the control VMs.
    pub control: Vec<SocketAddr>,
    /// Number of ready entry VMs in each availability zone, by zone name.
    pub zones: Vec<(String, u32)>,
}

/// State that the methods and the front ends read, and the ring for orders.
#[derive(Clone, Debug)]
pub struct Source {
    /// The policy in force, which contains the catalogue.
    pub policies: watch::Receiver<Arc<Policy>>,
    /// Whether this control VM receives updates, so that its state is current.
    pub is_current: watch::Receiver<bool>,
    /// Peer listeners of the control VMs.
    pub members: watch::Receiver<Arc<Vec<SocketAddr>>>,
    /// Entry VMs with a recent heartbeat.
    pub entries: watch::Receiver<Arc<LiveEntries>>,
    /// Last report of each upstream.
    pub last_reports: LastReports,
    /// Ring of the agree duty.
    pub ring: Sender<Message>,
}

/// Adds the methods to the module of a peer listener.
///
/// # Errors
/// A method of the same name is registered already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    source: Source,
) -> Result<(), RegisterMethodError> {
    let last_reports = source.last_reports.clone();
    module.register_method(HEARD_METHOD, move |params, _, _| {
        let upstreams: ReportedUpstreams = rpc::params(&params)?;
        last_reports.record_all(upstreams.rows);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_async_method(FOLLOW_METHOD, move |params, _, _| {
        let source = source.clone();
        async move {
            let request: FollowRequest = rpc::params(&params)?;
            respond(source, request).await
        }
    })?;
    Ok(())
}

async fn respond(
    mut source: Source,
    request: FollowRequest,
) -> Result<FollowResponse, ErrorObjectOwned> {
    let hold = Duration::from_millis(request.hold_ms);
    let newer = source
        .policies
        .wait_for(|policy| policy.catalog.revision > request.revision);
    tokio::select! {
        // If the channel is closed, the response has the last catalogue.
        _ = time::timeout(hold, newer) => {}
        Ok(_) = source.is_current.wait_for(|is_current| !is_current) => {
            let text = "this control VM receives no updates";
            return Err(rpc::error(UNAVAILABLE, text, ()));
        }
    }
    let catalog = Arc::clone(&source.policies.borrow().catalog);
    let control = source.members.borrow().to_vec();
    let zones = source.entries.borrow().ready_by_zone();
    Ok(FollowResponse {
        delta: catalog.since(request.revision),
        control,
        zones,
    })
}
