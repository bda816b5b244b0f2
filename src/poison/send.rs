//! Tells charges and lifts to the peers of the availability zone.

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
        ring::Inbox,
    },
    std::{io, thread::JoinHandle, time::Duration},
    tokio::sync::oneshot,
};

const CALL_LIMIT: Duration = Duration::from_secs(1);
const TRIES: u32 = 3;

/// News for every peer.
#[derive(Clone, Copy, Debug)]
pub(super) enum News {
    Charge(Charge),
    Lift(Lift),
}

/// Starts the thread; it ends when the inbox or `stop` closes.
pub(super) fn spawn(
    context: Context,
    seen: MembersReceiver,
    secret: Secret,
    inbox: Inbox<News>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("poison-send", move || {
        duty::until(stop, run(context, seen, secret, inbox))
    })
}

async fn run(context: Context, seen: MembersReceiver, secret: Secret, mut inbox: Inbox<News>) {
    while let Some(news) = inbox.recv().await {
        for client in peers(&context, &seen, &secret) {
            let context = context.clone();
            tokio::task::spawn_local(async move { tell(&context, &client, news).await });
        }
    }
}

/// The other entry VMs of the availability zone, as the members know them now.
fn peers(context: &Context, seen: &MembersReceiver, secret: &Secret) -> Vec<Client> {
    let members = seen.borrow();
    let rows = members.rows.iter();
    let peers = rows.filter(|row| row.zone == context.zone && *row.name != *context.vm);
    let clients = peers.map(|row| Client::new(row.peers, secret, CALL_LIMIT));
    clients.filter_map(Result::ok).collect()
}

async fn tell(context: &Context, client: &Client, news: News) {
    for _ in 0..TRIES {
        let told: Result<(), _> = match news {
            News::Charge(charge) => client.call(CHARGE, &charge).await,
            News::Lift(lift) => client.call(LIFT, &lift).await,
        };
        if told.is_ok() {
            return;
        }
    }
    // A peer that is cut off charges what it sees itself.
    context.metrics.count("poison_untold", 1);
}
