//! Bootstraps a blank ledger as `join` plans, until it votes.

use {
    super::{
        join::{self, Plan},
        messages::{Row, Status},
        serve::{self, HexMessage, PART, PartRequest, STATUS},
        settings::Settings,
        thread::Message,
    },
    crate::{
        clock, duty,
        edge::{Secret, client::Client},
        ring::Sender,
    },
    serde::Serialize,
    std::{
        io,
        net::SocketAddr,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time},
};

/// Interval between two polls of the other ledgers.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one call to another ledger.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct NoParams {}

/// Starts the thread, which exits when the ledger behind `ring` votes or `stop` closes.
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
            .map(|at| Client::new(*at, &secret, CALL_TIMEOUT));
        let clients: Vec<Client> = clients.filter_map(Result::ok).collect();
        // The plan would miscount the group without a client for every other ledger.
        if clients.len() < others.len() {
            return;
        }
        duty::run_until(stop, bootstrap(settings, &clients, &ring)).await;
    })
}

async fn bootstrap(settings: Settings, clients: &[Client], ring: &Sender<Message>) {
    let started = Instant::now();
    loop {
        let Ok(local) = serve::status(ring).await else {
            return;
        };
        if local.is_voting {
            return;
        }
        let mut others: Vec<Option<Status>> = Vec::new();
        for client in clients {
            others.push(client.call(STATUS, &NoParams {}).await.ok());
        }
        let wall_ms = clock::wall_millis();
        let age_ms = join::age_ms(local.created_ms, wall_ms, started.elapsed());
        let founders = match join::plan(&local, &others, age_ms, settings.expiry_ms) {
            Plan::Wait => None,
            Plan::FoundGroup(founders) => Some(founders),
            Plan::CopyFrom(sources) => copy(clients, &others, &sources, ring).await,
        };
        if let Some(founders) = founders {
            // Sending fails only if the ledger has shut down.
            let _ = ring.send(Message::StartVoting(founders));
        } else {
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Copies every row of `sources`; `None` if a source or the local ledger failed meanwhile.
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
            let encoded: HexMessage = client.call(PART, &PartRequest { part }).await.ok()?;
            let rows: Option<Vec<Row>> = encoded.decode()?;
            let Some(rows) = rows else { break };
            if !rows.is_empty() {
                ring.send(Message::Merge(rows)).ok()?;
            }
            part += 1;
        }
        // The copy is incomplete if the source lost its disk in the meantime.
        let after: Status = client.call(STATUS, &NoParams {}).await.ok()?;
        let before = others[*at].as_ref()?;
        if after.incarnation != before.incarnation {
            return None;
        }
    }
    Some(Vec::new())
}
