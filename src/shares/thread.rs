//! The duty of an entry VM that makes the calls to the leader.

use {
    super::{
        encode::{self, Encoded},
        hold::CALL_TIMEOUT_MS,
        messages::{LeaseRequest, LeaseResponse},
        serve::LEASE_METHOD,
    },
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client},
        ring::AsyncReceiver,
    },
    jsonrpsee::core::ClientError,
    std::{io, net::SocketAddr, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::sync::{oneshot, watch},
};

/// Dependencies of the duty.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// Context of this process.
    pub context: Context,
    /// Secret of the peer listeners.
    pub secret: Secret,
    /// Peer listener of the leader of the control VMs, as far as known.
    pub leader: watch::Receiver<Option<SocketAddr>>,
}

/// Starts the duty, which exits when `receiver` or `stop` closes. `on_end` gets the answer to each call, or `None` if there is
/// none; it must not block.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    deps: Dependencies,
    receiver: AsyncReceiver<LeaseRequest>,
    on_end: impl Fn(Option<LeaseResponse>) + Send + 'static,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("shares-calls", move || {
        duty::run_until(stop, run(deps, receiver, on_end))
    })
}

async fn run(
    deps: Dependencies,
    mut receiver: AsyncReceiver<LeaseRequest>,
    on_end: impl Fn(Option<LeaseResponse>) + 'static,
) {
    let on_end = Rc::new(on_end);
    let mut client: Option<(SocketAddr, Client)> = None;
    while let Some(request) = receiver.recv().await {
        let leader = *deps.leader.borrow();
        if client.as_ref().map(|(address, _)| *address) != leader {
            let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
            client = leader.and_then(|address| {
                let client = Client::new(address, &deps.secret, timeout).ok()?;
                Some((address, client))
            });
        }
        let (client, context) = (client.clone(), deps.context.clone());
        let on_end = Rc::clone(&on_end);
        // A call that has timed out must not delay the next one.
        tokio::task::spawn_local(async move {
            let response = match client {
                Some((address, client)) => call(&context, address, &client, &request).await,
                None => None,
            };
            on_end(response);
        });
    }
}

async fn call(
    context: &Context,
    address: SocketAddr,
    client: &Client,
    request: &LeaseRequest,
) -> Option<LeaseResponse> {
    let called: Result<Encoded, ClientError> =
        client.call(LEASE_METHOD, &encode::encode(request)).await;
    context.metrics.count("shares_called", 1);
    match called {
        Ok(encoded) => encode::decode(&encoded),
        Err(error) => {
            context.metrics.count("shares_unanswered", 1);
            log::debug!("{address}: {error}");
            None
        }
    }
}
