//! Sends charges and lifts to the peers that count them.

use {
    super::{
        messages::{Charges, Lift},
        serve::{CHARGE, LIFT},
    },
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client},
        ring::AsyncReceiver,
    },
    std::{fmt, io, net::SocketAddr, thread::JoinHandle, time::Duration},
    tokio::sync::oneshot,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of calls per update, including the first: to each peer, or to any.
const MAX_ATTEMPTS: usize = 3;

/// Update for the peers.
#[derive(Clone, Debug)]
pub(super) enum PeerUpdate {
    Charge(Charges),
    Lift(Lift),
}

/// Reads the peer listeners to which an update goes.
pub type ReadPeers = Box<dyn Fn() -> Vec<SocketAddr> + Send>;

/// Which peers receive an update.
pub enum Recipients {
    /// Each of them, as each counts charges by itself.
    All(ReadPeers),
    /// The first that accepts it, as they replicate it.
    Any(ReadPeers),
}

impl fmt::Debug for Recipients {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::All(_) => "All",
            Self::Any(_) => "Any",
        })
    }
}

/// Starts the thread, which exits when the receiver or `stop` closes.
pub(super) fn spawn(
    context: Context,
    recipients: Recipients,
    secret: Secret,
    receiver: AsyncReceiver<PeerUpdate>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("poison-send", move || {
        duty::run_until(stop, run(context, recipients, secret, receiver))
    })
}

async fn run(
    context: Context,
    recipients: Recipients,
    secret: Secret,
    mut receiver: AsyncReceiver<PeerUpdate>,
) {
    while let Some(update) = receiver.recv().await {
        let routes = match &recipients {
            Recipients::All(read) => {
                let repeat = |address| vec![address; MAX_ATTEMPTS];
                read().into_iter().map(repeat).collect()
            }
            Recipients::Any(read) => vec![read().into_iter().take(MAX_ATTEMPTS).collect()],
        };
        for route in routes {
            let (context, secret, update) = (context.clone(), secret.clone(), update.clone());
            tokio::task::spawn_local(async move { notify(&context, &secret, route, update).await });
        }
    }
}

/// Sends the update to the first address of `route` that accepts it.
async fn notify(context: &Context, secret: &Secret, route: Vec<SocketAddr>, update: PeerUpdate) {
    for address in route {
        let Ok(client) = Client::new(address, secret, CALL_TIMEOUT) else {
            continue;
        };
        let result: Result<(), _> = match &update {
            PeerUpdate::Charge(charges) => client.call(CHARGE, charges).await,
            PeerUpdate::Lift(lift) => client.call(LIFT, lift).await,
        };
        if result.is_ok() {
            return;
        }
    }
    // The local charges remain, and other VMs charge requests by their own observations.
    context.metrics.count("poison_untold", 1);
}
