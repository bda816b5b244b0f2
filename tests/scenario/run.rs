//! Runs a scenario against real processes with fake upstreams, and checks what it expects.

use {
    super::{
        fake::{Fake, Fault},
        language::{Action, Check, Line, Statement, Verb},
        world::World,
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

const CALL_LIMIT: Duration = Duration::from_secs(20);
const SHOWN: usize = 3;

/// How one request ended.
#[derive(Clone, Debug)]
struct Sent {
    kind: String,
    key: String,
    status: u16,
    body: String,
}

impl Sent {
    fn served(&self) -> bool {
        self.status == 200
    }

    /// The reason of a refusal, `lost` if no answer came.
    fn reason(&self) -> String {
        let problem: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        problem["reason"].as_str().unwrap_or("lost").to_owned()
    }

    fn says_not_run(&self) -> bool {
        self.status != 200 && self.body.contains("\"ran\":\"no\"")
    }
}

/// One run of a scenario.
pub struct Run {
    world: World,
    fakes: BTreeMap<String, Fake>,
    marks: BTreeMap<String, u32>,
    sent: Arc<Mutex<Vec<Sent>>>,
    callers: Vec<JoinHandle<()>>,
    random: StdRng,
}

/// Runs the scenario and returns what did not hold, each with its line.
pub fn run(lines: &[Line], seed: u64) -> Vec<String> {
    let mut run = Run {
        world: World::start(lines),
        fakes: BTreeMap::new(),
        marks: BTreeMap::new(),
        sent: Arc::default(),
        callers: Vec::new(),
        random: StdRng::seed_from_u64(seed),
    };
    run.start_fakes(lines);
    let mut failures = run.act(lines);
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
            let fake = Fake::start(name, service, slots, *time, self.world.upstreams(entry));
            self.fakes.insert(name.clone(), fake);
            self.world.await_upstream(entry, name);
        }
    }

    fn act(&mut self, lines: &[Line]) -> Vec<String> {
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
            if let Err(why) = self.step(action) {
                failures.push(format!("line {number}: {why}"));
            }
        }
        failures
    }

    fn step(&mut self, action: &Action) -> Result<(), String> {
        match action {
            Action::Load {
                kind,
                rate,
                time,
                entry,
            } => self.load(kind, *rate, *time, entry),
            Action::Send { kind, key, entry } => {
                let address = self.world.callers(entry);
                self.send(Duration::ZERO, kind, key, address);
            }
            Action::Process { verb, vm } => self.process(*verb, vm),
            Action::Cut { from, to, cut } => self.world.cut(from, to, *cut)?,
            Action::Order { words, refused } => self.world.order(words, *refused)?,
            Action::Fault { upstream, fault } => self.fakes[upstream].fault(read_fault(fault)?),
            Action::End(upstream) => self.fakes[upstream].end(),
            Action::Voters(count) => self.world.await_voters(*count),
            Action::Leave(upstream) => self.fakes[upstream].leave(),
            Action::Await { version, entry } => self.world.await_version(*version, entry),
            Action::Mark(upstream) => {
                let begun = self.fakes[upstream].seen().begun;
                self.marks.insert(upstream.clone(), begun);
            }
            Action::Settle => self.settle(),
        }
        Ok(())
    }

    fn process(&mut self, verb: Verb, vm: &str) {
        match verb {
            Verb::Kill => self.world.kill(vm),
            Verb::Stop => self.world.signal(vm, "STOP"),
            Verb::Cont => self.world.signal(vm, "CONT"),
            Verb::Term => self.world.signal(vm, "TERM"),
            Verb::Start => self.world.restart(vm),
            Verb::LoseDisk => self.world.lose_disk(vm),
        }
    }

    /// Open loop: each request is sent at its own time, whatever became of the others.
    fn load(&mut self, kind: &str, rate: u64, time: Duration, entry: &str) {
        let address = self.world.callers(entry);
        let interval = Duration::from_secs(1) / u32::try_from(rate.max(1)).unwrap();
        let mut at = Duration::ZERO;
        while at < time {
            let key = format!("k-{:016x}", self.random.random::<u64>());
            self.send(at, kind, &key, address);
            at += interval;
        }
    }

    fn send(&mut self, at: Duration, kind: &str, key: &str, address: SocketAddr) {
        let sent = Arc::clone(&self.sent);
        let (kind, key) = (kind.to_owned(), key.to_owned());
        let path = World::path(&kind);
        self.callers.push(thread::spawn(move || {
            thread::sleep(at);
            let request = outbound::agent(CALL_LIMIT).post(format!("http://{address}{path}"));
            let answer = request.header("idempotency-key", &key).send(key.as_str());
            let (status, body) = match answer {
                Ok(mut answer) => {
                    let status = answer.status().as_u16();
                    let body = answer.body_mut().read_to_string();
                    body.map_or((0, String::new()), |body| (status, body))
                }
                Err(_) => (0, String::new()),
            };
            sent.lock().unwrap().push(Sent {
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
            .map(|fake| fake.seen().runs.get(key).copied().unwrap_or(0))
            .sum()
    }

    fn check(&mut self, check: &Check) -> Result<(), String> {
        let sent = self.sent.lock().unwrap().clone();
        match check {
            Check::RunsAtMostOnce => self.check_once(&sent),
            Check::CompleteAnswers => self.check_answers(&sent),
            Check::NotRunIsTrue => self.check_not_run(&sent),
            Check::Served(least) => {
                let served = sent.iter().filter(|sent| sent.served()).count();
                at_least(served, *least, &tally(&sent))
            }
            Check::RefusedAtMost(most) => {
                let refused = sent.iter().filter(|sent| !sent.served()).count();
                at_most(refused, *most, &tally(&sent))
            }
            Check::Refused { reason, count } => {
                let refused = sent
                    .iter()
                    .filter(|sent| !sent.served() && sent.reason() == *reason);
                at_least(refused.count(), *count, &tally(&sent))
            }
            Check::Peak { upstream, count } => {
                let peak = self.fakes[upstream].seen().peak;
                at_most(peak as usize, *count, "requests at the same time")
            }
            Check::Begun { upstream, count } => {
                let begun = self.fakes[upstream].seen().begun;
                at_least(begun as usize, *count, "requests begun")
            }
            Check::Crashes(most) => {
                let crashes: u32 = self.fakes.values().map(|fake| fake.seen().crashes).sum();
                at_most(crashes as usize, *most, "crashes")
            }
            Check::IdleSinceMark(upstream) => {
                let begun = self.fakes[upstream].seen().begun;
                at_most(
                    (begun - self.marks[upstream]) as usize,
                    0,
                    "requests since the mark",
                )
            }
            Check::Exit { vm, code } => self.world.check_exit(vm, *code),
            Check::Moved { share, upstream } => {
                let moved = u64::from(self.fakes[upstream].seen().begun);
                let all: u32 = self.fakes.values().map(|fake| fake.seen().begun).sum();
                let over = moved * 1_000 > share * u64::from(all);
                if over {
                    Err(format!("{moved} of {all}"))
                } else {
                    Ok(())
                }
            }
        }
    }

    fn check_once(&self, sent: &[Sent]) -> Result<(), String> {
        let once = sent.iter().filter(|sent| World::is_once(&sent.kind));
        let twice: Vec<&str> = once
            .filter(|sent| self.runs(&sent.key) > 1)
            .map(|sent| sent.key.as_str())
            .collect();
        none(&twice)
    }

    fn check_answers(&self, sent: &[Sent]) -> Result<(), String> {
        let whole = |sent: &Sent| {
            let (upstream, key) = sent.body.split_once(':').unwrap_or_default();
            key == sent.key && self.fakes.contains_key(upstream)
        };
        let wrong = sent.iter().filter(|sent| sent.served() && !whole(sent));
        let wrong: Vec<&str> = wrong.map(|sent| sent.body.as_str()).collect();
        none(&wrong)
    }

    fn check_not_run(&self, sent: &[Sent]) -> Result<(), String> {
        let run = |sent: &&Sent| sent.says_not_run() && self.runs(&sent.key) > 0;
        // A key sent twice may have run by the other request.
        let only = |key: &str| sent.iter().filter(|other| other.key == key).count() == 1;
        let wrong = sent.iter().filter(run).filter(|sent| only(&sent.key));
        let wrong: Vec<&str> = wrong.map(|sent| sent.body.as_str()).collect();
        none(&wrong)
    }
}

fn read_fault(text: &str) -> Result<Fault, String> {
    let (name, value) = text.split_once(' ').unwrap_or((text, ""));
    Ok(match name {
        "none" => Fault::None,
        "crash-on" => Fault::CrashOn(value.to_owned()),
        "silent" => Fault::Silent,
        "late" => Fault::Late(
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

/// Requests by how they ended.
fn tally(sent: &[Sent]) -> String {
    let mut counts = BTreeMap::new();
    for sent in sent {
        let name = if sent.served() {
            "served".to_owned()
        } else {
            sent.reason()
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    format!("{counts:?}")
}

fn at_least(found: usize, least: u64, what: &str) -> Result<(), String> {
    if found as u64 >= least {
        Ok(())
    } else {
        Err(format!("{found}: {what}"))
    }
}

fn at_most(found: usize, most: u64, what: &str) -> Result<(), String> {
    if found as u64 <= most {
        Ok(())
    } else {
        Err(format!("{found}: {what}"))
    }
}

fn none(wrong: &[&str]) -> Result<(), String> {
    let first = &wrong[..wrong.len().min(SHOWN)];
    if wrong.is_empty() {
        Ok(())
    } else {
        Err(format!("{} of them, such as {first:?}", wrong.len()))
    }
}
