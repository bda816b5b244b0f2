//! At most once through separate processes: resends, kills, restarts, lost disks, cut ledgers.

mod common;
#[path = "scenario/fake.rs"]
#[allow(dead_code)] // This file uses a part of it.
mod fake;

use {
    common::{Fleet, Process, eventually, free_address},
    fake::{Fake, Fault},
    serde_json::{Value, json},
    siskinstep::edge::outbound,
    std::{fs, net::SocketAddr, path::PathBuf, thread, time::Duration},
};

const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const VMS: usize = 3;

/// Three entry VMs that are the ledgers of one group, with an upstream each.
struct World {
    fleet: Fleet,
    callers: [SocketAddr; VMS],
    settings: Vec<Value>,
    processes: Vec<Option<Process>>,
    fakes: Vec<Fake>,
}

fn start() -> World {
    let fleet = Fleet::new();
    let [callers, upstreams, peers] = [(); 3].map(|()| [(); VMS].map(|()| free_address()));
    let mut settings = Vec::new();
    for at in 0..VMS {
        let mut row = fleet.settings(&format!("entry-{at}"), "derwent-a");
        row["listeners"] =
            json!({"callers": callers[at], "upstreams": upstreams[at], "peers": peers[at]});
        row["claims"] = json!({"groups": [{"name": "derwent", "ledgers": peers}]});
        row["data_dir"] = json!(fleet.folder.path().join(format!("disk-{at}")));
        settings.push(row);
    }
    let processes = settings
        .iter()
        .map(|row| Some(fleet.start(ENTRY, row)))
        .collect();
    let fakes = (0..VMS)
        .map(|at| {
            let name = format!("u{at}");
            let time = Duration::from_millis(5);
            Fake::start(&name, "swapdesk", 7, time, upstreams[at])
        })
        .collect();
    let world = World {
        fleet,
        callers,
        settings,
        processes,
        fakes,
    };
    for at in 0..VMS {
        world.until_served(at, &format!("warm-{at}"));
    }
    world
}

fn book(callers: SocketAddr, key: &str, body: &str) -> (u16, String) {
    let agent = outbound::agent(Duration::from_secs(30));
    let sent = agent
        .post(format!("http://{callers}/swapdesk/book"))
        .header("idempotency-key", key)
        .send(body);
    let Ok(mut answer) = sent else {
        return (0, String::new());
    };
    let status = answer.status().as_u16();
    (status, answer.body_mut().read_to_string().unwrap())
}

impl World {
    fn book(&self, at: usize, key: &str) -> (u16, String) {
        book(self.callers[at], key, "cell 3")
    }

    /// Books with fresh keys until one is served.
    fn until_served(&self, at: usize, key: &str) {
        let mut tries = 0;
        eventually("the entry VM serves", || {
            tries += 1;
            let (status, _) = self.book(at, &format!("{key}-{tries}"));
            (status == 200).then_some(())
        });
    }

    /// Resends until the answer has that status.
    fn until_status(&self, at: usize, key: &str, status: u16) -> String {
        eventually("the answer has the status", || {
            let answer = self.book(at, key);
            (answer.0 == status).then_some(answer.1)
        })
    }

    fn kill(&mut self, at: usize) {
        self.processes[at] = None;
    }

    fn restart(&mut self, at: usize) {
        self.processes[at] = None;
        self.processes[at] = Some(self.fleet.start(ENTRY, &self.settings[at]));
    }

    fn disk(&self, at: usize) -> PathBuf {
        self.settings[at]["data_dir"].as_str().unwrap().into()
    }

    fn runs(&self, key: &str) -> u32 {
        let runs = |fake: &Fake| fake.seen().runs.get(key).copied().unwrap_or(0);
        self.fakes.iter().map(runs).sum()
    }
}

#[test]
fn a_resend_gets_the_stored_answer_also_after_restarts() {
    let mut world = start();
    let first = world.book(0, "k-1");
    assert_eq!(first.0, 200, "{}", first.1);
    for at in 0..VMS {
        assert_eq!(world.book(at, "k-1"), first);
    }
    let (status, text) = book(world.callers[1], "k-1", "cell 4");
    assert_eq!(status, 422);
    assert!(
        text.contains("key_reused") && text.contains("\"ran\":\"no\""),
        "{text}"
    );
    for at in 0..VMS {
        world.restart(at);
    }
    for at in 0..VMS {
        assert_eq!(world.until_status(at, "k-1", 200), first.1);
    }
    assert_eq!(world.runs("k-1"), 1);
}

#[test]
fn keys_are_minted() {
    let world = start();
    let agent = outbound::agent(Duration::from_secs(5));
    let mut answer = agent
        .post(format!("http://{}/v1/key", world.callers[0]))
        .send("")
        .unwrap();
    let text = answer.body_mut().read_to_string().unwrap();
    let key: Value = serde_json::from_str(&text).unwrap();
    let key = key["idempotency_key"].as_str().unwrap();
    assert!(key.starts_with("derwent."), "{key}");
    assert_eq!(world.book(0, key).0, 200);
    assert_eq!(world.runs(key), 1);
}

#[test]
fn a_request_whose_entry_died_never_runs_again() {
    let mut world = start();
    world.fakes[0].fault(Fault::Late(1_500));
    let callers = world.callers[0];
    let caller = thread::spawn(move || book(callers, "k-2", "cell 3"));
    eventually("the request runs", || {
        (world.runs("k-2") == 1).then_some(())
    });
    world.kill(0);
    assert_eq!(caller.join().unwrap().0, 0);
    let (status, text) = world.book(1, "k-2");
    assert_eq!(status, 409, "{text}");
    assert!(text.contains("\"ran\":\"unknown\""), "{text}");
    eventually("the run's time is over", || {
        let (_, text) = world.book(2, "k-2");
        text.contains("may_have_run").then_some(())
    });
    world.restart(0);
    assert_eq!(world.book(0, "k-2").0, 409);
    assert_eq!(world.runs("k-2"), 1);
}

#[test]
fn a_refusal_by_the_upstream_frees_the_key() {
    let world = start();
    world.fakes[0].fault(Fault::RefuseNotRun);
    let (status, text) = world.book(0, "k-3");
    assert_eq!(status, 503);
    assert!(text.contains("\"ran\":\"no\""), "{text}");
    world.until_status(1, "k-3", 200);
    assert_eq!(world.runs("k-3"), 1);
}

#[test]
fn one_ledger_may_be_gone_but_not_two() {
    let mut world = start();
    world.kill(2);
    let first = world.book(0, "k-4");
    assert_eq!(first.0, 200, "{}", first.1);
    world.kill(1);
    let (status, text) = world.book(0, "k-5");
    assert_eq!(status, 503);
    assert!(text.contains("claim_unavailable"), "{text}");
    assert!(text.contains("\"ran\":\"unknown\""), "{text}");
    assert_eq!(world.runs("k-5"), 0);
    assert_eq!(world.book(0, "k-4"), first);
}

#[test]
fn a_ledger_that_lost_its_disk_votes_only_after_it_has_copied() {
    let mut world = start();
    // The third ledger has seen nothing of this key.
    world.kill(2);
    let first = world.book(0, "k-6");
    assert_eq!(first.0, 200, "{}", first.1);
    // Before the third is back, so that nobody tells it.
    world.kill(0);
    world.kill(1);
    fs::remove_dir_all(world.disk(1)).unwrap();
    world.restart(1);
    world.restart(2);
    // Of the two that are left, one never heard of the key and one has forgotten it.
    let (status, text) = world.book(2, "k-6");
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("\"ran\":\"unknown\""), "{text}");
    world.restart(0);
    assert_eq!(world.until_status(1, "k-6", 200), first.1);
    // Once the second ledger has copied, a second VM may fail.
    let file = world.disk(1).join("ledger/ledger.log");
    eventually("the ledger votes", || {
        let bytes = fs::read(&file).ok()?;
        let records = siskinstep::ledger::encode::recover(&bytes).records;
        let votes = |record: &siskinstep::ledger::encode::Record| matches!(record, siskinstep::ledger::encode::Record::Status(status) if status.is_voting);
        records.iter().any(votes).then_some(())
    });
    world.kill(0);
    world.until_served(2, "k-7");
    assert_eq!(world.until_status(2, "k-6", 200), first.1);
    assert_eq!(world.runs("k-6"), 1);
}
