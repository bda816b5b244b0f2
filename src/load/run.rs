//! Runs a plan. Each configured thread is a pair: one thread paces, and one sends on a
//! single-threaded runtime.

use {
    super::{
        choose::{self, Lookup, Targets, Upstream},
        client,
        pace::{self, Due, Schedule},
        plan::{Plan, Steering},
        report::{KindReport, Report, Tally},
    },
    crate::{
        relay::pool::Pool,
        ring::{self, AsyncReceiver},
    },
    serde::Deserialize,
    snafu::Snafu,
    std::{
        cell::RefCell,
        io,
        rc::Rc,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{sync::Semaphore, task::LocalSet, time},
};

const DUE_RING_CAPACITY: usize = 1 << 16;
const FIRST_LOOKUP_TIMEOUT: Duration = Duration::from_secs(10);
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reason for which a plan could not be run.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The plan is invalid.
    #[snafu(display("{}", findings.join("\n")))]
    Plan {
        /// All violations, each with the field's name.
        findings: Vec<String>,
    },
    /// The runtime of a sending thread could not be created.
    #[snafu(display("runtime: {source}"), context(false))]
    Runtime {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A sending or pacing thread panicked.
    #[snafu(display("a thread of the load generator panicked"))]
    Panicked,
}

/// Runs the phases of a plan one after another and reports the results.
///
/// # Errors
/// The plan is invalid, a runtime cannot be created, or a thread panics.
pub fn run(plan: &Plan) -> Result<Report, LoadError> {
    let findings = plan.findings();
    if !findings.is_empty() {
        return PlanSnafu { findings }.fail();
    }
    let plan = Arc::new(plan.clone());
    let mut rows = Vec::new();
    for steering in &plan.steerings {
        rows.extend(run_phase(&plan, *steering)?);
    }
    Ok(Report::new(&plan, rows))
}

/// Runs one phase on all threads and merges their tallies.
fn run_phase(plan: &Arc<Plan>, steering: Steering) -> Result<Vec<KindReport>, LoadError> {
    let threads: Vec<_> = (0..plan.threads)
        .map(|index| {
            let plan = Arc::clone(plan);
            thread::spawn(move || run_sender(&plan, steering, index))
        })
        .collect();
    let mut totals: Vec<Tally> = plan.kinds.iter().map(|_| Tally::default()).collect();
    for thread in threads {
        let tallies = thread.join().map_err(|_| LoadError::Panicked)??;
        for (total, tally) in totals.iter_mut().zip(&tallies) {
            total.merge(tally);
        }
    }
    let rows = plan.kinds.iter().zip(&totals);
    Ok(rows
        .map(|(kind, tally)| KindReport::new(steering, kind, tally))
        .collect())
}

/// Sends requests for one phase; starts the pacing thread and joins it.
fn run_sender(plan: &Arc<Plan>, steering: Steering, index: usize) -> Result<Vec<Tally>, LoadError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let sender = Rc::new(Sender::new(Arc::clone(plan), steering));
    let local = LocalSet::new();
    local.block_on(&runtime, sender.fetch_targets());
    let (out, inbox) = ring::bounded_async(DUE_RING_CAPACITY);
    let seed = plan.seed.wrapping_add(index as u64);
    let schedule = Schedule::new(&plan.kinds, plan.threads, seed);
    let length = Duration::from_secs(plan.seconds);
    let pacer = thread::spawn(move || pace::run(schedule, length, &out));
    local.block_on(&runtime, sender.send_all(inbox));
    let unsent = pacer.join().map_err(|_| LoadError::Panicked)?;
    let mut tallies = sender.tallies.take();
    if unsent > 0 {
        tallies[0].record_refused("client: not sent in time, of any kind".to_owned(), unsent);
    }
    Ok(tallies)
}

/// Response of an upstream to `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadReport {
    load: u32,
}

/// State of one sending thread, shared by its tasks.
struct Sender {
    plan: Arc<Plan>,
    targets: RefCell<Targets>,
    pool: RefCell<Pool>,
    permits: Arc<Semaphore>,
    tallies: RefCell<Vec<Tally>>,
}

impl Sender {
    fn new(plan: Arc<Plan>, steering: Steering) -> Self {
        let upstreams = plan.upstreams.iter();
        let targets = Targets {
            steering,
            vms: Vec::new(),
            upstreams: upstreams
                .map(|address| Upstream {
                    address: *address,
                    load: 0,
                })
                .collect(),
            selections: 0,
        };
        Self {
            targets: RefCell::new(targets),
            pool: RefCell::default(),
            permits: Arc::new(Semaphore::new(plan.connections)),
            tallies: RefCell::new(plan.kinds.iter().map(|_| Tally::default()).collect()),
            plan,
        }
    }

    /// Fetches the targets before the first request; retries within `FIRST_LOOKUP_TIMEOUT`.
    async fn fetch_targets(&self) {
        let start = Instant::now();
        while self.refresh().await.is_none() && start.elapsed() < FIRST_LOOKUP_TIMEOUT {
            time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Updates the targets once. Returns the time until the next update, or `None` if no entry VM
    /// responded.
    async fn refresh(&self) -> Option<Duration> {
        let steering = self.targets.borrow().steering;
        match steering {
            Steering::Siskinstep => self.look_up().await,
            Steering::RoundRobin => Some(Duration::from_secs(self.plan.seconds)),
            Steering::LeastLoad => {
                self.fetch_loads().await;
                Some(Duration::from_millis(self.plan.poll_ms))
            }
        }
    }

    /// Queries the entry VMs in the order of the plan until one responds with a look-up.
    async fn look_up(&self) -> Option<Duration> {
        for address in &self.plan.entries {
            let Ok(body) = client::get(&self.pool, *address, "/v1/lookup").await else {
                continue;
            };
            if let Ok(lookup) = serde_json::from_slice::<Lookup>(&body) {
                self.targets.borrow_mut().vms = lookup.vms;
                return Some(Duration::from_millis(lookup.ttl_ms.max(1)));
            }
        }
        None
    }

    /// Updates the load of each upstream; one that does not respond keeps its last value.
    async fn fetch_loads(&self) {
        for index in 0..self.plan.upstreams.len() {
            let address = self.plan.upstreams[index];
            let Ok(body) = client::get(&self.pool, address, "/load").await else {
                continue;
            };
            if let Ok(report) = serde_json::from_slice::<LoadReport>(&body) {
                self.targets.borrow_mut().upstreams[index].load = report.load;
            }
        }
    }

    async fn refresh_periodically(self: Rc<Self>) {
        loop {
            let pause = self.refresh().await.unwrap_or(RETRY_INTERVAL);
            time::sleep(pause).await;
        }
    }

    /// Sends the requests from the pacing thread until it exits, then waits until all requests have
    /// completed or timed out.
    async fn send_all(self: &Rc<Self>, mut inbox: AsyncReceiver<Due>) {
        let refreshing = tokio::task::spawn_local(Rc::clone(self).refresh_periodically());
        while let Some(due) = inbox.recv().await {
            tokio::task::spawn_local(Rc::clone(self).send(due));
        }
        refreshing.abort();
        // Each outstanding request holds a reference, and each completes or times out.
        while Rc::strong_count(self) > 1 {
            time::sleep(COMPLETION_POLL_INTERVAL).await;
        }
    }

    async fn send(self: Rc<Self>, due: Due) {
        let Ok(_permit) = self.permits.acquire().await else {
            return;
        };
        let kind = &self.plan.kinds[due.kind];
        let target = self.select_target(kind.is_lookup());
        let result = match target {
            Some(address) => client::send(&self.pool, address, kind, rand::random()).await,
            None => Err("client: no target".to_owned()),
        };
        let mut tallies = self.tallies.borrow_mut();
        match result {
            Ok(()) => tallies[due.kind].record_served(due.scheduled.elapsed()),
            Err(reason) => tallies[due.kind].record_refused(reason, 1),
        }
    }

    /// Selects the target of a request: for a look-up the entry VMs of the plan in rotation, else
    /// according to the steering. Returns `None` if no target is known.
    fn select_target(&self, is_lookup: bool) -> Option<std::net::SocketAddr> {
        let mut targets = self.targets.borrow_mut();
        if !is_lookup {
            return choose::choose(&mut targets, rand::random());
        }
        targets.selections += 1;
        let index = targets.selections.checked_rem(self.plan.entries.len())?;
        Some(self.plan.entries[index])
    }
}
