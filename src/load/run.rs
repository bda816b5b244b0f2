//! Runs a plan: for each thread one that paces and one with a single-threaded runtime that sends.

use {
    super::{
        choose::{self, Lookup, Targets, Upstream},
        client,
        pace::{self, Due, Schedule},
        plan::{Plan, Steering},
        report::{Report, Row, Tally},
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

const DUE_RING: usize = 1 << 16;
const FIRST_LOOKUP_LIMIT: Duration = Duration::from_secs(10);
const END_POLL: Duration = Duration::from_millis(10);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a plan could not be run.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The plan is not sound.
    #[snafu(display("{}", findings.join("\n")))]
    Plan {
        /// Every finding with its place.
        findings: Vec<String>,
    },
    /// A runtime could not start.
    #[snafu(display("runtime: {source}"), context(false))]
    Runtime {
        /// What the system said.
        source: io::Error,
    },
    /// A thread ended early.
    #[snafu(display("a sending thread ended early"))]
    Ended,
}

/// Runs each steering of the plan in turn.
///
/// # Errors
/// The plan is not sound, or a thread cannot run.
pub fn run(plan: &Plan) -> Result<Report, LoadError> {
    let findings = plan.findings();
    if !findings.is_empty() {
        return PlanSnafu { findings }.fail();
    }
    let plan = Arc::new(plan.clone());
    let mut rows = Vec::new();
    for steering in &plan.steerings {
        rows.extend(phase(&plan, *steering)?);
    }
    Ok(Report::new(&plan, rows))
}

fn phase(plan: &Arc<Plan>, steering: Steering) -> Result<Vec<Row>, LoadError> {
    let threads: Vec<_> = (0..plan.threads)
        .map(|at| {
            let plan = Arc::clone(plan);
            thread::spawn(move || work(&plan, steering, at))
        })
        .collect();
    let mut totals: Vec<Tally> = plan.kinds.iter().map(|_| Tally::default()).collect();
    for thread in threads {
        let tallies = thread.join().map_err(|_| LoadError::Ended)??;
        for (total, tally) in totals.iter_mut().zip(&tallies) {
            total.add(tally);
        }
    }
    let rows = plan.kinds.iter().zip(&totals);
    Ok(rows
        .map(|(kind, tally)| Row::new(steering, kind, tally))
        .collect())
}

/// One sending thread with its pacing thread.
fn work(plan: &Arc<Plan>, steering: Steering, at: usize) -> Result<Vec<Tally>, LoadError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let sender = Rc::new(Sender::new(Arc::clone(plan), steering));
    let local = LocalSet::new();
    local.block_on(&runtime, sender.learn());
    let (out, inbox) = ring::bounded_async(DUE_RING);
    let seed = plan.seed.wrapping_add(at as u64);
    let schedule = Schedule::new(&plan.kinds, plan.threads, seed);
    let length = Duration::from_secs(plan.seconds);
    let pacer = thread::spawn(move || pace::run(schedule, length, &out));
    local.block_on(&runtime, sender.send_all(inbox));
    let unsent = pacer.join().map_err(|_| LoadError::Ended)?;
    let mut tallies = sender.tallies.take();
    if unsent > 0 {
        tallies[0].refuse("client: not sent in time, of any kind".to_owned(), unsent);
    }
    Ok(tallies)
}

/// Load as an upstream reports it at `/load`.
#[derive(Debug, Deserialize)]
struct Reported {
    load: u32,
}

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
            turn: 0,
        };
        Self {
            targets: RefCell::new(targets),
            pool: RefCell::default(),
            permits: Arc::new(Semaphore::new(plan.connections)),
            tallies: RefCell::new(plan.kinds.iter().map(|_| Tally::default()).collect()),
            plan,
        }
    }

    /// Learns the targets before the first request.
    async fn learn(&self) {
        let start = Instant::now();
        while self.refresh().await.is_none() && start.elapsed() < FIRST_LOOKUP_LIMIT {
            time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Learns the targets once; how long they may be used, or `None` if nobody answered.
    async fn refresh(&self) -> Option<Duration> {
        let steering = self.targets.borrow().steering;
        match steering {
            Steering::Siskinstep => self.look_up().await,
            Steering::RoundRobin => Some(Duration::from_secs(self.plan.seconds)),
            Steering::LeastLoad => {
                self.read_loads().await;
                Some(Duration::from_millis(self.plan.poll_ms))
            }
        }
    }

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

    async fn read_loads(&self) {
        for at in 0..self.plan.upstreams.len() {
            let address = self.plan.upstreams[at];
            let Ok(body) = client::get(&self.pool, address, "/load").await else {
                continue;
            };
            if let Ok(reported) = serde_json::from_slice::<Reported>(&body) {
                self.targets.borrow_mut().upstreams[at].load = reported.load;
            }
        }
    }

    async fn keep_learning(self: Rc<Self>) {
        loop {
            let pause = self.refresh().await.unwrap_or(RETRY_PAUSE);
            time::sleep(pause).await;
        }
    }

    /// Sends what is due until the pacer ends and every answer has come.
    async fn send_all(self: &Rc<Self>, mut inbox: AsyncReceiver<Due>) {
        let learning = tokio::task::spawn_local(Rc::clone(self).keep_learning());
        while let Some(due) = inbox.recv().await {
            tokio::task::spawn_local(Rc::clone(self).send(due));
        }
        learning.abort();
        // Every request holds a reference; each ends by its deadline.
        while Rc::strong_count(self) > 1 {
            time::sleep(END_POLL).await;
        }
    }

    async fn send(self: Rc<Self>, due: Due) {
        let Ok(_permit) = self.permits.acquire().await else {
            return;
        };
        let kind = &self.plan.kinds[due.kind];
        let target = self.target(kind.is_lookup());
        let result = match target {
            Some(address) => client::send(&self.pool, address, kind, rand::random()).await,
            None => Err("client: no target".to_owned()),
        };
        let mut tallies = self.tallies.borrow_mut();
        match result {
            Ok(()) => tallies[due.kind].serve(due.intended.elapsed()),
            Err(reason) => tallies[due.kind].refuse(reason, 1),
        }
    }

    /// Look-ups go to the entry VMs of the plan, requests where the steering says.
    fn target(&self, is_lookup: bool) -> Option<std::net::SocketAddr> {
        let mut targets = self.targets.borrow_mut();
        if !is_lookup {
            return choose::choose(&mut targets, rand::random());
        }
        targets.turn += 1;
        let at = targets.turn.checked_rem(self.plan.entries.len())?;
        Some(self.plan.entries[at])
    }
}
