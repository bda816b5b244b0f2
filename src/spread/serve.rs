//! RPC method that serves configuration updates, on control VMs and on entry VMs.

use {
    super::{
        decide,
        fleet::Fleet,
        messages::{FetchRequest, FetchResponse},
    },
    crate::{edge::rpc, policy::Policy},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// Name of the method on the peer listener.
pub(super) const FETCH_METHOD: &str = "spread.fetch";

/// Data from which the method responds.
#[derive(Clone, Debug)]
pub struct Source {
    /// The configuration in force.
    pub policies: watch::Receiver<Arc<Policy>>,
    /// Whether updates are being received, so that the configuration is current. Long polls fail
    /// while it is `false`, so that the requesting VM polls another one.
    pub is_current: watch::Receiver<bool>,
    /// Table in which a control VM records the version reports.
    pub fleet: Option<Fleet>,
}

/// Registers the method in the module of a peer listener.
///
/// # Errors
/// The method is already registered.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    source: Source,
) -> Result<(), RegisterMethodError> {
    module.register_async_method(FETCH_METHOD, move |params, _, _| {
        let source = source.clone();
        async move {
            let mut request: FetchRequest = rpc::params(&params)?;
            if let Some(fleet) = &source.fleet {
                fleet.record(std::mem::take(&mut request.reports));
            }
            respond(source, request).await
        }
    })?;
    Ok(())
}

async fn respond(
    mut source: Source,
    request: FetchRequest,
) -> Result<FetchResponse, ErrorObjectOwned> {
    if request.hold_ms > 0 && !request.full {
        let hold = Duration::from_millis(request.hold_ms);
        let newer = source
            .policies
            .wait_for(|policy| policy.version > request.version);
        tokio::select! {
            // If the channel is closed, the response uses the last configuration.
            _ = time::timeout(hold, newer) => {}
            Ok(_) = source.is_current.wait_for(|is_current| !is_current) => {
                let text = "configuration updates do not reach this VM";
                return Err(rpc::error(rpc::UNAVAILABLE, text, ()));
            }
        }
    }
    let policy = Arc::clone(&source.policies.borrow());
    Ok(decide::respond(&policy, request.version, request.full))
}
