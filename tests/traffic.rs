//! Traffic through real processes: kills, restarts, stops and drains under load.

mod common;
#[allow(dead_code)] // The scenarios use the rest of it.
#[path = "scenario/fake.rs"]
mod fake;

use {
    common::{Fleet, Process, eventually, free_address},
    fake::Fake,
    serde_json::{Value, json},
    siskinstep::edge::outbound,
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        process::Command,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const CONTROL: &str = env!("CARGO_BIN_EXE_siskinstep-control");
const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const OPERATOR: &str = env!("CARGO_BIN_EXE_siskinstep");
const LIMIT: Duration = Duration::from_secs(30);

struct Small {
    fleet: Fleet,
    settings: Value,
    operators: SocketAddr,
    callers: SocketAddr,
    upstreams: SocketAddr,
    admin: SocketAddr,
    _control: Process,
}

/// Answers by status and body; 0 for none at all.
type Answers = Vec<(u16, String)>;

impl Small {
    fn start() -> (Self, Process) {
        let fleet = Fleet::new();
        let [operators, peers, callers, upstreams, admin] = [(); 5].map(|()| free_address());
        let mut control = fleet.settings("control-1", "derwent-a");
        control["listeners"] = json!({"operators": operators, "peers": peers});
        let control = fleet.start(CONTROL, &control);
        let mut settings = fleet.settings("entry-1", "derwent-a");
        settings["listeners"] = json!({
            "callers": callers, "upstreams": upstreams, "admin": admin, "peers": free_address(),
        });
        settings["spread"] = json!({"control": [peers]});
        let entry = fleet.start(ENTRY, &settings);
        let small = Self {
            fleet,
            settings,
            operators,
            callers,
            upstreams,
            admin,
            _control: control,
        };
        (small, entry)
    }

    fn order(&self, words: &[&str]) {
        let status = Command::new(OPERATOR)
            .args(["--control", &self.operators.to_string(), "--secret"])
            .arg(self.fleet.folder.path().join("secret"))
            .args(words)
            .status();
        assert!(status.unwrap().success());
    }

    /// Callers that ask again and again until `stop`, or until `last` says so of an answer.
    fn load(
        &self,
        callers: usize,
        stop: &Arc<AtomicBool>,
        last: fn(u16) -> bool,
    ) -> Vec<JoinHandle<Answers>> {
        let url = format!("http://{}/cellwatch/check", self.callers);
        let spawn = |_| {
            let (url, stop) = (url.clone(), Arc::clone(stop));
            thread::spawn(move || ask_until(&url, &stop, last))
        };
        (0..callers).map(spawn).collect()
    }

    fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.admin);
        let mut answer = outbound::agent(LIMIT).get(url).call().unwrap();
        answer.body_mut().read_to_string().unwrap()
    }

    fn status(&self) -> Value {
        let url = format!("http://{}/status", self.admin);
        let mut answer = outbound::agent(LIMIT).get(url).call().unwrap();
        serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap()
    }
}

fn ask_until(url: &str, stop: &AtomicBool, last: fn(u16) -> bool) -> Answers {
    let agent = outbound::agent(LIMIT);
    let mut answers = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let answer = agent.post(url).send("x").map(|mut answer| {
            let body = answer.body_mut().read_to_string();
            (answer.status().as_u16(), body.unwrap_or_default())
        });
        let answer = answer.unwrap_or_else(|error| (0, error.to_string()));
        let status = answer.0;
        answers.push(answer);
        if last(status) {
            break;
        }
        if status != 200 {
            thread::sleep(Duration::from_millis(5));
        }
    }
    answers
}

fn never(_: u16) -> bool {
    false
}

fn is_refused(status: u16) -> bool {
    status != 200
}

fn await_begun(fake: &Fake, more: u32) {
    let begun = fake.seen().begun;
    eventually("the upstream runs requests", || {
        Some(()).filter(|()| fake.seen().begun >= begun + more)
    });
}

#[test]
fn a_killed_entry_that_comes_back_never_exceeds_the_slots() {
    let (small, mut entry) = Small::start();
    let time = Duration::from_millis(300);
    let fake = Fake::start("u1", "cellwatch", 3, time, small.upstreams);
    let stop = Arc::default();
    let load = small.load(9, &stop, never);
    for _ in 0..4 {
        await_begun(&fake, 5);
        drop(entry);
        entry = small.fleet.start(ENTRY, &small.settings);
    }
    await_begun(&fake, 5);
    stop.store(true, Ordering::SeqCst);
    let served = load.into_iter().flat_map(|load| load.join().unwrap());
    assert!(served.filter(|(status, _)| *status == 200).count() > 10);
    assert_eq!(fake.seen().peak, 3);
}

#[test]
fn a_planned_stop_under_load_cuts_off_nobody() {
    let (small, mut entry) = Small::start();
    let time = Duration::from_millis(100);
    let fake = Fake::start("u1", "cellwatch", 3, time, small.upstreams);
    await_joined(&small);
    let stop = Arc::default();
    // Twice the slots, so that some requests wait for one when the signal comes.
    let load = small.load(6, &stop, is_refused);
    await_begun(&fake, 9);
    entry.signal("TERM");
    assert!(entry.wait().success());
    for answers in load {
        let answers = answers.join().unwrap();
        let (last, served) = answers.split_last().unwrap();
        assert!(served.iter().all(|(_, body)| body == "u1:x"));
        assert!(
            last.0 == 0 || last.1.contains("\"reason\":\"stopping\""),
            "{last:?}"
        );
        // A connection is refused only once the listener is gone, never broken by the stop.
        assert!(last.0 != 0 || last.1.contains("refused"), "{last:?}");
    }
}

fn await_joined(small: &Small) {
    eventually("the upstream has joined", || {
        Some(()).filter(|()| small.status()["upstreams"][0]["open"] == true)
    });
}

#[test]
fn a_drain_shows_its_progress_and_its_time() {
    let (small, _entry) = Small::start();
    let time = Duration::from_millis(600);
    let fake = Fake::start("u1", "cellwatch", 3, time, small.upstreams);
    await_joined(&small);
    let stop = Arc::default();
    let load = small.load(3, &stop, never);
    await_begun(&fake, 3);
    small.order(&["drain", "upstream/u1"]);
    let row = eventually("the drain has ended", || {
        Some(small.status()["drains"][0].clone()).filter(|row| row["done"] == true)
    });
    let begun = fake.seen().begun;
    assert_eq!(
        (&row["drain"], &row["cause"]),
        (&json!("upstream u1"), &json!("operator"))
    );
    assert!(row["took_ms"].is_u64(), "{row}");
    eprintln!("drain: {row}");
    assert_eq!(fake.seen().running, 0);
    stop.store(true, Ordering::SeqCst);
    for answers in load {
        let answers = answers.join().unwrap();
        let whole = |(status, body): &(u16, String)| {
            (*status == 200 && body == "u1:x") || body.contains("\"ran\":\"no\"")
        };
        assert!(answers.iter().all(whole));
    }
    assert_eq!(fake.seen().begun, begun);
    let metrics = small.metrics();
    for name in [
        "drain_ms",
        "slots_free",
        "queue",
        "ring_slots",
        "ring_relay",
    ] {
        assert!(
            metrics.contains(&format!("level{{what=\"{name}\"}}")),
            "{name}"
        );
    }
}

#[test]
fn an_upstream_that_leaves_gets_no_new_work_and_ends_what_it_runs() {
    let (small, _entry) = Small::start();
    let time = Duration::from_millis(200);
    let leaving = Fake::start("u1", "cellwatch", 3, time, small.upstreams);
    let stays = Fake::start("u2", "cellwatch", 9, time, small.upstreams);
    let stop = Arc::default();
    let load = small.load(4, &stop, never);
    await_begun(&leaving, 3);
    leaving.leave();
    let row = eventually("the upstream has left", || {
        Some(small.status()["drains"][0].clone()).filter(|row| row["done"] == true)
    });
    assert_eq!(row["cause"], "leaving");
    let begun = leaving.seen().begun;
    await_begun(&stays, 12);
    assert_eq!(leaving.seen().begun, begun);
    stop.store(true, Ordering::SeqCst);
    for answers in load {
        let answers = answers.join().unwrap();
        let early = answers.iter().take_while(|(status, _)| *status == 503);
        let joined = early.count();
        assert!(answers[joined..].iter().all(|(status, _)| *status == 200));
    }
}

#[test]
fn a_caller_that_hangs_up_is_cancelled_and_its_slot_is_held_until_its_deadline() {
    let (small, _entry) = Small::start();
    let time = Duration::from_millis(700);
    let fake = Fake::start("u1", "cellwatch", 1, time, small.upstreams);
    await_joined(&small);
    let mut caller = TcpStream::connect(small.callers).unwrap();
    let request = "POST /cellwatch/check HTTP/1.1\r\nhost: x\r\ndeadline-ms: 1500\r\n\r\n";
    caller.write_all(request.as_bytes()).unwrap();
    await_begun(&fake, 1);
    drop(caller);
    eventually("the attempt is cancelled", || {
        let cancelled = "failures{reason=\"cancelled\"} 1\n";
        Some(()).filter(|()| small.metrics().contains(cancelled))
    });
    // The fake runs on, as if the end of the connection had not reached it.
    let stop = Arc::default();
    let answers = small.load(1, &stop, |_| true).remove(0).join().unwrap();
    assert_eq!(answers, [(200, "u1:x".to_owned())]);
    assert_eq!(fake.seen().peak, 1);
}
