//! At-most-once execution across separate processes: resent requests, killed and restarted entry
//! VMs, lost disks, unavailable ledgers.

mod common;
#[path = "scenario/fake.rs"]
#[allow(dead_code)] // The scenarios use the rest.
mod fake;

use {
    common::{Process, TestEnv, eventually, free_address},
    fake::{FakeUpstream, Fault},
    serde_json::{Value, json},
    siskinstep::edge::outbound,
    std::{fs, net::SocketAddr, path::PathBuf, thread, time::Duration},
};

const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const VMS: usize = 3;

/// Three entry VMs, one upstream each, whose ledgers form one group.
struct Cluster {
    env: TestEnv,
    callers: [SocketAddr; VMS],
    settings: Vec<Value>,
    processes: Vec<Option<Process>>,
    fakes: Vec<FakeUpstream>,
}

fn start() -> Cluster {
    let env = TestEnv::new();
    let [callers, upstreams, peers] = [(); 3].map(|()| [(); VMS].map(|()| free_address()));
    let mut settings = Vec::new();
    for vm in 0..VMS {
        let mut row = env.settings(&format!("entry-{vm}"), "derwent-a");
        row["listeners"] =
            json!({"callers": callers[vm], "upstreams": upstreams[vm], "peers": peers[vm]});
        row["claims"] = json!({"groups": [{"name": "derwent", "ledgers": peers}]});
        row["data_dir"] = json!(env.folder.path().join(format!("disk-{vm}")));
        settings.push(row);
    }
    let processes = settings
        .iter()
        .map(|row| Some(env.start(ENTRY, row)))
        .collect();
    let fakes = (0..VMS)
        .map(|vm| {
            let name = format!("u{vm}");
            let service_time = Duration::from_millis(5);
            FakeUpstream::start(&name, "swapdesk", 7, service_time, upstreams[vm])
        })
        .collect();
    let cluster = Cluster {
        env,
        callers,
        settings,
        processes,
        fakes,
    };
    for vm in 0..VMS {
        cluster.await_served(vm, &format!("warm-{vm}"));
    }
    cluster
}

fn book(callers: SocketAddr, key: &str, body: &str) -> (u16, String) {
    let agent = outbound::agent(Duration::from_secs(30));
    let sent = agent
        .post(format!("http://{callers}/swapdesk/book"))
        .header("idempotency-key", key)
        .send(body);
    let Ok(mut response) = sent else {
        return (0, String::new());
    };
    let status = response.status().as_u16();
    (status, response.body_mut().read_to_string().unwrap())
}

impl Cluster {
    fn book(&self, vm: usize, key: &str) -> (u16, String) {
        book(self.callers[vm], key, "cell 3")
    }

    /// Books, with a new key for each request, until one is served.
    fn await_served(&self, vm: usize, key: &str) {
        let mut attempts = 0;
        eventually("the entry VM serves", || {
            attempts += 1;
            let (status, _) = self.book(vm, &format!("{key}-{attempts}"));
            (status == 200).then_some(())
        });
    }

    /// Resends a request until its response has this status; returns the body.
    fn await_status(&self, vm: usize, key: &str, status: u16) -> String {
        eventually("the response has the expected status", || {
            let response = self.book(vm, key);
            (response.0 == status).then_some(response.1)
        })
    }

    fn kill(&mut self, vm: usize) {
        self.processes[vm] = None;
    }

    fn restart(&mut self, vm: usize) {
        self.processes[vm] = None;
        self.processes[vm] = Some(self.env.start(ENTRY, &self.settings[vm]));
    }

    fn data_dir(&self, vm: usize) -> PathBuf {
        self.settings[vm]["data_dir"].as_str().unwrap().into()
    }

    fn runs(&self, key: &str) -> u32 {
        let runs = |fake: &FakeUpstream| fake.counters().runs.get(key).copied().unwrap_or(0);
        self.fakes.iter().map(runs).sum()
    }
}

#[test]
fn a_resend_gets_the_stored_response_even_after_restarts() {
    let mut cluster = start();
    let first = cluster.book(0, "k-1");
    assert_eq!(first.0, 200, "{}", first.1);
    for vm in 0..VMS {
        assert_eq!(cluster.book(vm, "k-1"), first);
    }
    let (status, text) = book(cluster.callers[1], "k-1", "cell 4");
    assert_eq!(status, 422);
    assert!(
        text.contains("key_reused") && text.contains("\"ran\":\"no\""),
        "{text}"
    );
    for vm in 0..VMS {
        cluster.restart(vm);
    }
    for vm in 0..VMS {
        assert_eq!(cluster.await_status(vm, "k-1", 200), first.1);
    }
    assert_eq!(cluster.runs("k-1"), 1);
}

#[test]
fn issued_keys_name_the_group_and_can_be_claimed() {
    let cluster = start();
    let agent = outbound::agent(Duration::from_secs(5));
    let mut response = agent
        .post(format!("http://{}/v1/key", cluster.callers[0]))
        .send("")
        .unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let key: Value = serde_json::from_str(&text).unwrap();
    let key = key["idempotency_key"].as_str().unwrap();
    assert!(key.starts_with("derwent."), "{key}");
    assert_eq!(cluster.book(0, key).0, 200);
    assert_eq!(cluster.runs(key), 1);
}

#[test]
fn a_request_whose_entry_vm_was_killed_is_not_executed_again() {
    let mut cluster = start();
    cluster.fakes[0].inject(Fault::Delay(1_500));
    let callers = cluster.callers[0];
    let caller = thread::spawn(move || book(callers, "k-2", "cell 3"));
    eventually("the upstream runs the request", || {
        (cluster.runs("k-2") == 1).then_some(())
    });
    cluster.kill(0);
    assert_eq!(caller.join().unwrap().0, 0);
    let (status, text) = cluster.book(1, "k-2");
    assert_eq!(status, 409, "{text}");
    assert!(text.contains("\"ran\":\"unknown\""), "{text}");
    eventually("the deadline of the run has passed", || {
        let (_, text) = cluster.book(2, "k-2");
        text.contains("may_have_run").then_some(())
    });
    cluster.restart(0);
    assert_eq!(cluster.book(0, "k-2").0, 409);
    assert_eq!(cluster.runs("k-2"), 1);
}

#[test]
fn a_refusal_by_the_upstream_releases_the_key() {
    let cluster = start();
    cluster.fakes[0].inject(Fault::RefuseNotRun);
    let (status, text) = cluster.book(0, "k-3");
    assert_eq!(status, 503);
    assert!(text.contains("\"ran\":\"no\""), "{text}");
    cluster.await_status(1, "k-3", 200);
    assert_eq!(cluster.runs("k-3"), 1);
}

#[test]
fn claims_survive_the_loss_of_one_ledger_but_not_of_two() {
    let mut cluster = start();
    cluster.kill(2);
    let first = cluster.book(0, "k-4");
    assert_eq!(first.0, 200, "{}", first.1);
    cluster.kill(1);
    let (status, text) = cluster.book(0, "k-5");
    assert_eq!(status, 503);
    assert!(text.contains("claim_unavailable"), "{text}");
    assert!(text.contains("\"ran\":\"unknown\""), "{text}");
    assert_eq!(cluster.runs("k-5"), 0);
    assert_eq!(cluster.book(0, "k-4"), first);
}

#[test]
fn a_ledger_that_lost_its_disk_votes_only_after_catching_up() {
    let mut cluster = start();
    // The third ledger receives no record of this key.
    cluster.kill(2);
    let first = cluster.book(0, "k-6");
    assert_eq!(first.0, 200, "{}", first.1);
    // Both stop before the third returns, so that it cannot copy the record from them.
    cluster.kill(0);
    cluster.kill(1);
    fs::remove_dir_all(cluster.data_dir(1)).unwrap();
    cluster.restart(1);
    cluster.restart(2);
    // Of the two ledgers left, one never received the key and the other lost it with its disk.
    let (status, text) = cluster.book(2, "k-6");
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("\"ran\":\"unknown\""), "{text}");
    cluster.restart(0);
    assert_eq!(cluster.await_status(1, "k-6", 200), first.1);
    // Once the second ledger has caught up, the loss of another VM is tolerated.
    let file = cluster.data_dir(1).join("ledger/ledger.log");
    eventually("the ledger votes", || {
        let bytes = fs::read(&file).ok()?;
        let records = siskinstep::ledger::encode::recover(&bytes).records;
        let votes = |record: &siskinstep::ledger::encode::Record| matches!(record, siskinstep::ledger::encode::Record::Status(status) if status.is_voting);
        records.iter().any(votes).then_some(())
    });
    cluster.kill(0);
    cluster.await_served(2, "k-7");
    assert_eq!(cluster.await_status(2, "k-6", 200), first.1);
    assert_eq!(cluster.runs("k-6"), 1);
}
