//! Answers VMs that ask for what is new, on a control VM and on an entry VM.

use {
    super::{
        decide,
        fleet::Fleet,
        messages::{Fetch, Fetched},
    },
    crate::{edge::rpc, policy::Policy},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// Name of the method on the peer listener.
pub(super) const FETCH: &str = "spread.fetch";

/// What the method answers from.
#[derive(Clone, Debug)]
pub struct Source {
    /// The configuration in force.
    pub policies: watch::Receiver<Arc<Policy>>,
    /// Whether news still reach this VM; one that is cut off answers no question that waits.
    pub fresh: watch::Receiver<bool>,
    /// Takes the reports, on a control VM.
    pub fleet: Option<Fleet>,
}

/// Adds the method to a peer listener's module.
///
/// # Errors
/// The method is there already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    source: Source,
) -> Result<(), RegisterMethodError> {
    module.register_async_method(FETCH, move |params, _, _| {
        let source = source.clone();
        async move {
            let mut fetch: Fetch = rpc::params(&params)?;
            if let Some(fleet) = &source.fleet {
                fleet.note(std::mem::take(&mut fetch.reports));
            }
            answer(source, fetch).await
        }
    })?;
    Ok(())
}

async fn answer(mut source: Source, fetch: Fetch) -> Result<Fetched, ErrorObjectOwned> {
    if fetch.hold_ms > 0 && !fetch.full {
        let hold = Duration::from_millis(fetch.hold_ms);
        let newer = source
            .policies
            .wait_for(|policy| policy.version > fetch.version);
        tokio::select! {
            // A closed channel leaves the last configuration to answer from.
            _ = time::timeout(hold, newer) => {}
            Ok(_) = source.fresh.wait_for(|fresh| !fresh) => {
                let text = "no news reach this VM";
                return Err(rpc::error(rpc::UNAVAILABLE, text, ()));
            }
        }
    }
    let policy = Arc::clone(&source.policies.borrow());
    Ok(decide::answer(&policy, fetch.version, fetch.full))
}
