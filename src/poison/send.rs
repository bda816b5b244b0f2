//! Sends charges and lifts to the peers in the availability zone.

use {
    super::{
        messages::{Charge, Lift},
        serve::{CHARGE, LIFT},
    },
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client},
        membership::messages::MembersReceiver,
        ring::AsyncReceiver,
    },
    std::{io, thread::JoinHandle, time::Duration},
    tokio::sync::oneshot,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of calls per update and peer, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Update for every peer.
#[derive(Clone, Copy, Debug)]
pub(super) enum PeerUpdate {
    Charge(Charge),
    Lift(Lift),
}

/// Starts the thread, which exits when the receiver or `stop` closes.
pub(super) fn spawn(
    context: Context,
    members: MembersReceiver,
    secret: Secret,
    receiver: AsyncReceiver<PeerUpdate>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("poison-send", move || {
        duty::run_until(stop, run(context, members, secret, receiver))
    })
}

async fn run(
    context: Context,
    members: MembersReceiver,
    secret: Secret,
    mut receiver: AsyncReceiver<PeerUpdate>,
) {
    while let Some(update) = receiver.recv().await {
        for client in peers(&context, &members, &secret) {
            let context = context.clone();
            tokio::task::spawn_local(async move { notify(&context, &client, update).await });
        }
    }
}

/// Clients of the other entry VMs in the availability zone, from the current members.
fn peers(context: &Context, members: &MembersReceiver, secret: &Secret) -> Vec<Client> {
    let members = members.borrow();
    let rows = members.rows.iter();
    let peers = rows.filter(|row| row.zone == context.zone && *row.name != *context.vm);
    let clients = peers.map(|row| Client::new(row.peers, secret, CALL_TIMEOUT));
    clients.filter_map(Result::ok).collect()
}

async fn notify(context: &Context, client: &Client, update: PeerUpdate) {
    for _ in 0..MAX_ATTEMPTS {
        let result: Result<(), _> = match update {
            PeerUpdate::Charge(charge) => client.call(CHARGE, &charge).await,
            PeerUpdate::Lift(lift) => client.call(LIFT, &lift).await,
        };
        if result.is_ok() {
            return;
        }
    }
    // An unreachable peer still charges requests by its own observations.
    context.metrics.count("poison_untold", 1);
}
