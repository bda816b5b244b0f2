//! The thread on a control VM that forwards to the others which upstreams reported to it, and
//! orders the removal of upstreams that reported to none of them within the timeout.

use {
    super::{
        last_reports::LastReports,
        messages::Order,
        serve::{HEARD_METHOD, ReportedUpstreams, Source},
        state::Catalog,
    },
    crate::{
        agree::Message,
        context::Context,
        duty,
        edge::{Secret, client::Client},
        ledger::Fingerprint,
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

/// Interval between two rounds: a fraction of the report timeout of upstreams.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the last loss after which the charges of a request expire.
const CHARGE_TTL: Duration = Duration::from_mins(10);
/// Timeout of a call to another control VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time between two rounds of a control VM that was not suspended.
const MAX_ROUND: Duration = Duration::from_secs(4);

/// Since when this control VM would have heard of a report of each row of the catalogue.
#[derive(Debug, Default)]
pub(super) struct FirstSeen {
    /// By name and incarnation.
    rows: Sorted<(String, u64), Instant>,
    /// Time of the last round.
    round: Option<Instant>,
}

impl FirstSeen {
    /// Begins a round. A control VM that did not lead, or was suspended, may have been cut off from the others, and
    /// knows of no report that they received meanwhile.
    pub(super) fn begin_round(&mut self, is_leader: bool, now: Instant) {
        let gap = self.round.map(|last| now.saturating_duration_since(last));
        if !is_leader || gap.is_none_or(|gap| gap > MAX_ROUND) {
            self.rows = Sorted::default();
        }
        self.round = Some(now);
    }
}

/// Name and incarnation of the upstreams that were in the catalogue for `timeout` without a report
/// to any control VM. Updates `first_seen`, and removes outdated entries of `last_reports`.
pub(super) fn expired(
    catalog: &Catalog,
    last_reports: &LastReports,
    first_seen: &mut FirstSeen,
    timeout: Duration,
    now: Instant,
) -> Vec<(String, u64)> {
    let rows = catalog.upstreams.rows();
    let is_registered = |id: &str, born| {
        let row = catalog.upstreams.get(id);
        row.is_some_and(|row| row.born == born)
    };
    let first_seen = &mut first_seen.rows;
    first_seen.retain(|(id, born), _| is_registered(id, *born));
    // An upstream may deregister before any of its reports is accepted. Its incarnation is then
    // taken from its last report, so reports of unregistered upstreams are kept until the timeout.
    let is_recent = |at| now.saturating_duration_since(at) < timeout;
    last_reports.retain(|id, at| catalog.upstreams.get(id).is_some() || is_recent(at));
    let mut expired = Vec::new();
    for row in rows {
        let key = (row.name.clone(), row.value.born);
        let since = first_seen.get(&key).copied().unwrap_or(now);
        first_seen.insert(key.clone(), since);
        let last = last_reports.reported_at(&row.name, row.value.born);
        let last = last.map_or(since, |last| last.max(since));
        if now.saturating_duration_since(last) >= timeout {
            expired.push(key);
        }
    }
    expired
}

/// When this control VM first had each charged request in its present state, by name and revision.
pub(super) type FirstCharged = Sorted<(String, u64), Instant>;

/// Orders that remove the charges that have not changed for `ttl`. Updates `first_charged`.
pub(super) fn expired_charges(
    catalog: &Catalog,
    first_charged: &mut FirstCharged,
    ttl: Duration,
    now: Instant,
) -> Vec<Order> {
    let rows = catalog.charges.rows();
    let is_held = |(name, revision): &(String, u64)| {
        let mut rows = rows.iter();
        rows.any(|row| row.name == *name && row.revision == *revision)
    };
    first_charged.retain(|key, _| is_held(key));
    let mut orders = Vec::new();
    for row in rows {
        let key = (row.name.clone(), row.revision);
        let since = first_charged.get(&key).copied().unwrap_or(now);
        first_charged.insert(key, since);
        if now.saturating_duration_since(since) >= ttl {
            orders.push(Order::Lift {
                fingerprint: Fingerprint::parse(&row.name),
                base: Some(row.revision),
            });
        }
    }
    orders
}

/// Starts the duty, which exits when `stop` closes. `local` is the peer listener of this VM, and
/// `timeout` the time after which an upstream without a report is removed.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    local: SocketAddr,
    secret: Secret,
    source: Source,
    timeout: Duration,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("census", move || {
        duty::run_until(stop, run(context, local, secret, source, timeout))
    })
}

async fn run(
    context: Context,
    local: SocketAddr,
    secret: Secret,
    source: Source,
    timeout: Duration,
) {
    let mut first_seen = FirstSeen::default();
    let mut first_charged = FirstCharged::default();
    let mut clients: Sorted<SocketAddr, Client> = Sorted::default();
    loop {
        time::sleep(ROUND_INTERVAL).await;
        let unsent = source.last_reports.take_unsent();
        let members = source.members.borrow().to_vec();
        clients.retain(|address, _| members.contains(address));
        for address in members {
            if address == local || unsent.is_empty() {
                continue;
            }
            if clients.get(&address).is_none() {
                let Ok(client) = Client::new(address, &secret, CALL_TIMEOUT) else {
                    continue;
                };
                clients.insert(address, client);
            }
            let Some(client) = clients.get(&address).cloned() else {
                continue;
            };
            let upstreams = ReportedUpstreams {
                rows: unsent.clone(),
            };
            let metrics = context.metrics.clone();
            // In parallel, so that an unreachable control VM delays no other.
            tokio::task::spawn_local(async move {
                if client.call::<()>(HEARD_METHOD, &upstreams).await.is_err() {
                    metrics.count("census_unreachable", 1);
                }
            });
        }
        let catalog = source.policies.borrow().catalog.clone();
        // Members hear of all reports; only the leader accepts the order.
        let is_leader = *source.leader.borrow() == Some(local);
        let now = Instant::now();
        first_seen.begin_round(is_leader, now);
        let expired = expired(
            &catalog,
            &source.last_reports,
            &mut first_seen,
            timeout,
            now,
        );
        for order in expired_charges(&catalog, &mut first_charged, CHARGE_TTL, now) {
            if is_leader {
                let (order, reply) = (Box::new(order), Box::new(|_| {}));
                let _ = source.ring.offer(Message::Order { order, reply });
            }
        }
        if !expired.is_empty() && is_leader {
            report(Event::UPSTREAM_LAPSED, format_args!("{expired:?}"));
            let order = Box::new(Order::Forget { silent: expired });
            let reply = Box::new(|_| {});
            let _ = source.ring.offer(Message::Order { order, reply });
        }
    }
}
