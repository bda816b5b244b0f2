//! Tells charges and lifts to the peers of the availability zone.

use {
    super::{
        messages::{Charge, Lift},
        serve::{CHARGE, LIFT},
    },
    crate::{
        context::Context,
        edge::{Secret, client::Client},
        ring::Inbox,
    },
    std::{io, net::SocketAddr, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, task::LocalSet},
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
    peers: Vec<SocketAddr>,
    secret: Secret,
    inbox: Inbox<News>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = move || {
        let clients = peers.iter().map(|at| Client::new(*at, &secret, CALL_LIMIT));
        let clients = clients.filter_map(Result::ok).collect();
        LocalSet::new().block_on(&runtime, async {
            tokio::select! {
                () = run(context, clients, inbox) => {}
                _ = stop => {}
            }
        });
    };
    std::thread::Builder::new()
        .name("poison-send".to_owned())
        .spawn(run)
}

async fn run(context: Context, clients: Vec<Client>, mut inbox: Inbox<News>) {
    while let Some(news) = inbox.recv().await {
        for client in &clients {
            let (context, client) = (context.clone(), client.clone());
            tokio::task::spawn_local(async move { tell(&context, &client, news).await });
        }
    }
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
