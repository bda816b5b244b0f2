//! The control side: answers entry VMs as soon as there is news.

use {
    super::messages::{Fetch, Fetched},
    crate::{edge::rpc, policy::Policy},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// Name of the method on the peer listener.
pub(super) const FETCH: &str = "spread.fetch";

/// Adds the method to a peer listener's module.
///
/// # Errors
/// The method is there already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    policies: watch::Receiver<Arc<Policy>>,
) -> Result<(), RegisterMethodError> {
    module.register_async_method(FETCH, move |params, _, _| {
        let policies = policies.clone();
        async move {
            let fetch: Fetch = rpc::params(&params)?;
            Ok::<_, ErrorObjectOwned>(answer(policies, fetch).await)
        }
    })?;
    Ok(())
}

async fn answer(mut policies: watch::Receiver<Arc<Policy>>, fetch: Fetch) -> Fetched {
    let hold = Duration::from_millis(fetch.hold_ms);
    let newer = policies.wait_for(|policy| policy.version > fetch.version);
    let policy = match time::timeout(hold, newer).await {
        Ok(Ok(policy)) => Some(policy.without_receipts()),
        _ => None,
    };
    Fetched { policy }
}
