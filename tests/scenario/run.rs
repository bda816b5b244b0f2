//! Runs a scenario against real processes with fake upstreams and evaluates its `expect` lines.

use {
    super::{
        cluster::Cluster,
        fake::{FakeUpstream, Fault},
        language::{Action, Check, Line, Operation, Statement},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    siskinstep::edge::outbound,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_EXAMPLES: usize = 3;

/// Outcome of one request; status 0 if the response is missing or incomplete.
#[derive(Clone, Debug)]
struct Outcome {
    kind: String,
    key: String,
    status: u16,
    body: String,
}

impl Outcome {
    fn is_served(&self) -> bool {
        self.status == 200
    }

    /// Reason of a refusal, `lost` if the response names none.
    fn reason(&self) -> String {
        let problem: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        problem["reason"].as_str().unwrap_or("lost").to_owned()
    }

    fn reports_not_run(&self) -> bool {
        self.status != 200 && self.body.contains("\"ran\":\"no\"")
    }
}

/// State of one run of a scenario.
pub struct Run {
    cluster: Cluster,
    fakes: BTreeMap<String, FakeUpstream>,
    begun_at_mark: BTreeMap<String, u32>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    callers: Vec<JoinHandle<()>>,
    rng: StdRng,
}

/// Runs the scenario and returns its failed steps and checks, each with its line number.
pub fn run(lines: &[Line], seed: u64) -> Vec<String> {
    let mut run = Run {
        cluster: Cluster::start(lines),
        fakes: BTreeMap::new(),
        begun_at_mark: BTreeMap::new(),
        outcomes: Arc::default(),
        callers: Vec::new(),
        rng: StdRng::seed_from_u64(seed),
    };
    run.start_fakes(lines);
    let mut failures = run.run_steps(lines);
    run.settle();
    for line in lines {
        if let Statement::Expect(check) = &line.statement
            && let Err(why) = run.check(check)
        {
            failures.push(format!("line {}: {check:?}: {why}", line.number));
        }
    }
    failures
}

impl Run {
    fn start_fakes(&mut self, lines: &[Line]) {
        for line in lines {
            let Statement::Upstream {
                name,
                service,
                slots,
                time,
                entry,
            } = &line.statement
            else {
                continue;
            };
            let slots = u16::try_from(*slots).unwrap();
            let fake =
                FakeUpstream::start(name, service, slots, *time, self.cluster.upstreams(entry));
            self.fakes.insert(name.clone(), fake);
            self.cluster.await_upstream(entry, name);
        }
    }

    fn run_steps(&mut self, lines: &[Line]) -> Vec<String> {
        let mut steps: Vec<(Duration, usize, &Action)> = Vec::new();
        for line in lines {
            if let Statement::At(time, action) = &line.statement {
                steps.push((*time, line.number, action));
            }
        }
        steps.sort_by_key(|(time, number, _)| (*time, *number));
        let start = Instant::now();
        let mut failures = Vec::new();
        for (time, number, action) in steps {
            thread::sleep(time.saturating_sub(start.elapsed()));
            if let Err(why) = self.run_step(action) {
                failures.push(format!("line {number}: {why}"));
            }
        }
        failures
    }

    fn run_step(&mut self, action: &Action) -> Result<(), String> {
        match action {
            Action::Load {
                kind,
                rate,
                time,
                entry,
            } => self.load(kind, *rate, *time, entry),
            Action::Send { kind, key, entry } => {
                let address = self.cluster.callers(entry);
                self.send(Duration::ZERO, kind, key, address);
            }
            Action::Process { operation, vm } => self.process(*operation, vm),
            Action::Cut { from, to, cut } => self.cluster.cut(from, to, *cut)?,
            Action::Order { arguments, refused } => self.cluster.run_order(arguments, *refused)?,
            Action::Fault { upstream, fault } => self.fakes[upstream].inject(parse_fault(fault)?),
            Action::Terminate(upstream) => self.fakes[upstream].terminate(),
            Action::AwaitVoters(count) => self.cluster.await_voters(*count),
            Action::Leave(upstream) => self.fakes[upstream].leave(),
            Action::AwaitVersion { version, entry } => self.cluster.await_version(*version, entry),
            Action::Mark(upstream) => {
                let begun = self.fakes[upstream].counters().begun;
                self.begun_at_mark.insert(upstream.clone(), begun);
            }
            Action::Settle => self.settle(),
        }
        Ok(())
    }

    fn process(&mut self, operation: Operation, vm: &str) {
        match operation {
            Operation::Kill => self.cluster.kill(vm),
            Operation::Stop => self.cluster.signal(vm, "STOP"),
            Operation::Cont => self.cluster.signal(vm, "CONT"),
            Operation::Term => self.cluster.signal(vm, "TERM"),
            Operation::Start => self.cluster.restart(vm),
            Operation::LoseDisk => self.cluster.lose_disk(vm),
        }
    }

    /// Open-loop load: sends each request at its scheduled time, independent of earlier responses.
    fn load(&mut self, kind: &str, rate: u64, time: Duration, entry: &str) {
        let address = self.cluster.callers(entry);
        let interval = Duration::from_secs(1) / u32::try_from(rate.max(1)).unwrap();
        let mut at = Duration::ZERO;
        while at < time {
            let key = format!("k-{:016x}", self.rng.random::<u64>());
            self.send(at, kind, &key, address);
            at += interval;
        }
    }

    fn send(&mut self, at: Duration, kind: &str, key: &str, address: SocketAddr) {
        let outcomes = Arc::clone(&self.outcomes);
        let (kind, key) = (kind.to_owned(), key.to_owned());
        let path = Cluster::path(&kind);
        self.callers.push(thread::spawn(move || {
            thread::sleep(at);
            let request = outbound::agent(REQUEST_TIMEOUT).post(format!("http://{address}{path}"));
            let response = request.header("idempotency-key", &key).send(key.as_str());
            let (status, body) = match response {
                Ok(mut response) => {
                    let status = response.status().as_u16();
                    let body = response.body_mut().read_to_string();
                    body.map_or((0, String::new()), |body| (status, body))
                }
                Err(_) => (0, String::new()),
            };
            outcomes.lock().unwrap().push(Outcome {
                kind,
                key,
                status,
                body,
            });
        }));
    }

    fn settle(&mut self) {
        for caller in self.callers.drain(..) {
            caller.join().unwrap();
        }
    }

    fn runs(&self, key: &str) -> u32 {
        let fakes = self.fakes.values();
        fakes
            .map(|fake| fake.counters().runs.get(key).copied().unwrap_or(0))
            .sum()
    }

    fn check(&mut self, check: &Check) -> Result<(), String> {
        let outcomes = self.outcomes.lock().unwrap().clone();
        match check {
            Check::RunsAtMostOnce => self.check_at_most_once(&outcomes),
            Check::CompleteAnswers => self.check_complete_responses(&outcomes),
            Check::NotRunIsTrue => self.check_not_run(&outcomes),
            Check::ServedAtLeast(min) => {
                let served = outcomes
                    .iter()
                    .filter(|outcome| outcome.is_served())
                    .count();
                at_least(served, *min, &count_by_outcome(&outcomes))
            }
            Check::RefusedAtMost(max) => {
                let refused = outcomes
                    .iter()
                    .filter(|outcome| !outcome.is_served())
                    .count();
                at_most(refused, *max, &count_by_outcome(&outcomes))
            }
            Check::RefusedAtLeast { reason, count } => {
                let refused = outcomes
                    .iter()
                    .filter(|outcome| !outcome.is_served() && outcome.reason() == *reason);
                at_least(refused.count(), *count, &count_by_outcome(&outcomes))
            }
            Check::PeakAtMost { upstream, count } => {
                let peak = self.fakes[upstream].counters().peak;
                at_most(peak as usize, *count, "requests at the same time")
            }
            Check::BegunAtLeast { upstream, count } => {
                let begun = self.fakes[upstream].counters().begun;
                at_least(begun as usize, *count, "requests begun")
            }
            Check::CrashesAtMost(max) => {
                let crashes: u32 = self
                    .fakes
                    .values()
                    .map(|fake| fake.counters().crashes)
                    .sum();
                at_most(crashes as usize, *max, "crashes")
            }
            Check::IdleSinceMark(upstream) => {
                let begun = self.fakes[upstream].counters().begun;
                at_most(
                    (begun - self.begun_at_mark[upstream]) as usize,
                    0,
                    "requests since the mark",
                )
            }
            Check::Exit { vm, code } => self.cluster.check_exit(vm, *code),
            Check::MovedAtMost { permille, upstream } => {
                let target_begun = u64::from(self.fakes[upstream].counters().begun);
                let total_begun: u32 = self.fakes.values().map(|fake| fake.counters().begun).sum();
                let is_exceeded = target_begun * 1_000 > permille * u64::from(total_begun);
                if is_exceeded {
                    Err(format!("{target_begun} of {total_begun}"))
                } else {
                    Ok(())
                }
            }
        }
    }

    fn check_at_most_once(&self, outcomes: &[Outcome]) -> Result<(), String> {
        let non_idempotent = outcomes
            .iter()
            .filter(|outcome| Cluster::is_non_idempotent(&outcome.kind));
        let repeated: Vec<&str> = non_idempotent
            .filter(|outcome| self.runs(&outcome.key) > 1)
            .map(|outcome| outcome.key.as_str())
            .collect();
        expect_none(&repeated)
    }

    fn check_complete_responses(&self, outcomes: &[Outcome]) -> Result<(), String> {
        let is_complete = |outcome: &Outcome| {
            let (upstream, key) = outcome.body.split_once(':').unwrap_or_default();
            key == outcome.key && self.fakes.contains_key(upstream)
        };
        let violations = outcomes
            .iter()
            .filter(|outcome| outcome.is_served() && !is_complete(outcome));
        let violations: Vec<&str> = violations.map(|outcome| outcome.body.as_str()).collect();
        expect_none(&violations)
    }

    fn check_not_run(&self, outcomes: &[Outcome]) -> Result<(), String> {
        let has_run = |outcome: &&Outcome| outcome.reports_not_run() && self.runs(&outcome.key) > 0;
        // With a key that is sent twice, the other request may be the one that ran.
        let is_unique = |key: &str| outcomes.iter().filter(|other| other.key == key).count() == 1;
        let violations = outcomes
            .iter()
            .filter(has_run)
            .filter(|outcome| is_unique(&outcome.key));
        let violations: Vec<&str> = violations.map(|outcome| outcome.body.as_str()).collect();
        expect_none(&violations)
    }
}

fn parse_fault(text: &str) -> Result<Fault, String> {
    let (name, value) = text.split_once(' ').unwrap_or((text, ""));
    Ok(match name {
        "none" => Fault::None,
        "crash-on" => Fault::CrashOn(value.to_owned()),
        "silent" => Fault::Silent,
        "late" => Fault::Delay(
            value
                .trim_end_matches("ms")
                .parse()
                .map_err(|_| text.to_owned())?,
        ),
        "truncate" => Fault::Truncate,
        "refuse-not-run" => Fault::RefuseNotRun,
        "fail-after-run" => Fault::FailAfterRun,
        "lie-idle" => Fault::LieIdle,
        "no-report" => Fault::NoReport,
        _ => return Err(format!("unknown fault {text:?}")),
    })
}

/// Number of requests per outcome: served, or the reason of the refusal.
fn count_by_outcome(outcomes: &[Outcome]) -> String {
    let mut counts = BTreeMap::new();
    for outcome in outcomes {
        let name = if outcome.is_served() {
            "served".to_owned()
        } else {
            outcome.reason()
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    format!("{counts:?}")
}

fn at_least(found: usize, min: u64, what: &str) -> Result<(), String> {
    if found as u64 >= min {
        Ok(())
    } else {
        Err(format!("{found}: {what}"))
    }
}

fn at_most(found: usize, max: u64, what: &str) -> Result<(), String> {
    if found as u64 <= max {
        Ok(())
    } else {
        Err(format!("{found}: {what}"))
    }
}

fn expect_none(violations: &[&str]) -> Result<(), String> {
    let examples = &violations[..violations.len().min(MAX_EXAMPLES)];
    if violations.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "{} violations, such as {examples:?}",
            violations.len()
        ))
    }
}
