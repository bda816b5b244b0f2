//! The thread on a control VM that tells the others which upstreams it heard, and has those
//! forgotten that nobody has heard for long.

use {
    super::{
        last_reports::LastReports,
        messages::Order,
        serve::{HEARD, Rows, Source},
        state::Catalog,
    },
    crate::{
        agree::Message,
        context::Context,
        duty,
        edge::{Secret, client::Client},
        observe::{Event, report},
        sorted::Sorted,
    },
    std::{
        io,
        net::SocketAddr,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time},
};

/// Between two rounds: a fraction of the silence after which an upstream is forgotten.
const ROUND: Duration = Duration::from_secs(2);
/// Time for one call to another control VM.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Since when each upstream of the catalogue is known here, by name and incarnation.
pub(super) type Known = Sorted<(String, u64), Instant>;

/// Upstreams that nobody has heard for `silence`, nor were they new here in that time.
pub(super) fn silent(
    catalog: &Catalog,
    heard: &LastReports,
    known: &mut Known,
    silence: Duration,
    now: Instant,
) -> Vec<(String, u64)> {
    let rows = catalog.upstreams.rows();
    let is_there = |id: &str, born| {
        let row = catalog.upstreams.get(id);
        row.is_some_and(|row| row.born == born)
    };
    known.retain(|(id, born), _| is_there(id, *born));
    // One whose reports are not accepted yet may leave before they are.
    let is_fresh = |at| now.saturating_duration_since(at) < silence;
    heard.retain(|id, at| catalog.upstreams.get(id).is_some() || is_fresh(at));
    let mut silent = Vec::new();
    for row in rows {
        let key = (row.name.clone(), row.value.born);
        let since = known.get(&key).copied().unwrap_or(now);
        known.insert(key.clone(), since);
        let last = heard.last(&row.name, row.value.born);
        let last = last.map_or(since, |last| last.max(since));
        if now.saturating_duration_since(last) >= silence {
            silent.push(key);
        }
    }
    silent
}

/// Starts the duty; it ends when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    own: SocketAddr,
    secret: Secret,
    source: Source,
    silence: Duration,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("census", move || {
        duty::until(stop, run(context, own, secret, source, silence))
    })
}

async fn run(context: Context, own: SocketAddr, secret: Secret, source: Source, silence: Duration) {
    let mut known = Known::default();
    let mut clients: Sorted<SocketAddr, Client> = Sorted::default();
    loop {
        time::sleep(ROUND).await;
        let fresh = source.last_reports.take_fresh();
        let members = source.members.borrow().to_vec();
        clients.retain(|address, _| members.contains(address));
        for address in members {
            if address == own || fresh.is_empty() {
                continue;
            }
            if clients.get(&address).is_none() {
                let Ok(client) = Client::new(address, &secret, CALL_LIMIT) else {
                    continue;
                };
                clients.insert(address, client);
            }
            let Some(client) = clients.get(&address).cloned() else {
                continue;
            };
            let rows = Rows {
                rows: fresh.clone(),
            };
            let metrics = context.metrics.clone();
            // Each in its own time: one that is cut off holds up none.
            tokio::task::spawn_local(async move {
                if client.call::<()>(HEARD, &rows).await.is_err() {
                    metrics.count("census_unreachable", 1);
                }
            });
        }
        let catalog = source.policies.borrow().catalog.clone();
        let silent = silent(
            &catalog,
            &source.last_reports,
            &mut known,
            silence,
            Instant::now(),
        );
        if !silent.is_empty() && *source.is_current.borrow() {
            report(Event::UPSTREAM_LAPSED, format_args!("{silent:?}"));
            // Only the leader takes it; it is repeated in the next round if need be.
            let order = Box::new(Order::Forget { silent });
            let reply = Box::new(|_| {});
            let _ = source.ring.offer(Message::Order { order, reply });
        }
    }
}
