//! Brings a ledger without memory to vote, as `join` plans it. Ends once it votes.

use {
    super::{
        join::{self, Plan},
        messages::{Row, Status},
        serve::{self, Ask, PART, Packed, STATUS},
        settings::Settings,
        thread::Message,
    },
    crate::{
        clock, duty,
        edge::{Secret, client::Client},
        ring::Sender,
    },
    serde::Serialize,
    std::{io, net::SocketAddr, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, time},
};

const POLL: Duration = Duration::from_millis(200);
const CALL_LIMIT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct Nothing {}

/// Starts the duty beside the ledger behind `ring`; it ends when that votes, or `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    settings: Settings,
    others: Vec<SocketAddr>,
    secret: Secret,
    ring: Sender<Message>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("ledger-join", move || async move {
        let clients = others
            .iter()
            .map(|at| Client::new(*at, &secret, CALL_LIMIT));
        let clients: Vec<Client> = clients.filter_map(Result::ok).collect();
        // Every ledger of the group counts, also one that cannot be called.
        if clients.len() < others.len() {
            return;
        }
        duty::until(stop, adopt(settings, &clients, &ring)).await;
    })
}

async fn adopt(settings: Settings, clients: &[Client], ring: &Sender<Message>) {
    loop {
        let Ok(me) = serve::status(ring).await else {
            return;
        };
        if me.sure {
            return;
        }
        let mut others: Vec<Option<Status>> = Vec::new();
        for client in clients {
            others.push(client.call(STATUS, &Nothing {}).await.ok());
        }
        let age_ms = clock::wall_millis().saturating_sub(me.born);
        let founders = match join::plan(&me, &others, age_ms, settings.expiry_ms) {
            Plan::Wait => None,
            Plan::Found(founders) => Some(founders),
            Plan::Copy(sources) => copy(clients, &others, &sources, ring).await,
        };
        if let Some(founders) = founders {
            // The ledger may have ended, and with it the need to vote.
            let _ = ring.send(Message::Vote(founders));
        } else {
            time::sleep(POLL).await;
        }
    }
}

/// Copies every row of `sources`, or yields `None` if one of them failed on the way.
async fn copy(
    clients: &[Client],
    others: &[Option<Status>],
    sources: &[usize],
    ring: &Sender<Message>,
) -> Option<Vec<u64>> {
    for at in sources {
        let client = &clients[*at];
        let mut part = 0;
        loop {
            let packed: Packed = client.call(PART, &Ask { part }).await.ok()?;
            let rows: Option<Vec<Row>> = packed.open()?;
            let Some(rows) = rows else { break };
            if !rows.is_empty() {
                ring.send(Message::Merge(rows)).ok()?;
            }
            part += 1;
        }
        // A source that lost its disk meanwhile has yielded only a part.
        let after: Status = client.call(STATUS, &Nothing {}).await.ok()?;
        let before = others[*at].as_ref()?;
        if after.incarnation != before.incarnation {
            return None;
        }
    }
    Some(Vec::new())
}
