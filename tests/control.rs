//! Three control VMs as separate processes: killed, frozen, restarted, with a lost disk, while
//! operators race each other.

mod common;

use {
    common::{Fleet, PATIENCE, Process, SECRET, eventually, free_address},
    serde_json::{Value, json},
    siskinstep::{
        agree::{MemberChange, MemberStatus},
        edge::{Secret, client::Client},
        operator::{OperatorClient, OperatorError},
        policy::{Accepted, Change, Command, Drain, state::Receipt},
    },
    std::{
        fs,
        net::SocketAddr,
        os::unix::fs::PermissionsExt,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::JoinHandle,
        time::Duration,
    },
    tokio::runtime::Runtime,
};

const CONTROL: &str = env!("CARGO_BIN_EXE_siskinstep-control");

const RACE_PAUSE: Duration = Duration::from_millis(60);

struct Cluster {
    fleet: Fleet,
    /// Peer and operator address of each control VM.
    places: Vec<(SocketAddr, SocketAddr)>,
    processes: Vec<Option<Process>>,
    founders: usize,
}

fn runtime() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().unwrap()
}

impl Cluster {
    fn start(founders: usize) -> Self {
        let mut cluster = Self {
            fleet: Fleet::new(),
            places: (0..5).map(|_| (free_address(), free_address())).collect(),
            processes: (0..5).map(|_| None).collect(),
            founders,
        };
        for at in 0..founders {
            cluster.launch(at);
        }
        cluster
    }

    fn data(&self, at: usize) -> PathBuf {
        self.fleet.folder.path().join(format!("data-{at}"))
    }

    fn launch(&mut self, at: usize) {
        let mut listed: Vec<usize> = (0..self.founders).collect();
        if at >= self.founders {
            listed.push(at);
        }
        let row = |at: usize| {
            let (peers, operators) = self.places[at];
            json!({"name": format!("control-{at}"), "peers": peers, "operators": operators})
        };
        let members: Vec<_> = listed.into_iter().map(row).collect();
        let (peers, operators) = self.places[at];
        let mut settings = self.fleet.settings(&format!("control-{at}"), "derwent-a");
        settings["listeners"] = json!({"operators": operators, "peers": peers});
        settings["data_dir"] = json!(self.data(at));
        settings["members"] = json!(members);
        settings["agree"] = json!({"snapshot_entries": 20});
        self.processes[at] = Some(self.fleet.start(CONTROL, &settings));
    }

    /// Ends the process with `SIGKILL`.
    fn kill(&mut self, at: usize) {
        drop(self.processes[at].take());
    }

    fn signal(&self, at: usize, name: &str) {
        self.processes[at].as_ref().unwrap().signal(name);
    }

    fn operator(&self) -> OperatorClient {
        let addresses = self.places.iter().take(self.founders).map(|row| row.1);
        OperatorClient::new(addresses.collect(), Secret::new(SECRET))
    }

    fn members(&self) -> Vec<MemberStatus> {
        let operator = self.operator();
        let runtime = runtime();
        eventually("the members are read", || {
            runtime.block_on(operator.members()).ok()
        })
    }

    fn leader(&self) -> usize {
        eventually("there is a leader", || {
            let members = self.members();
            let leads = members.iter().find(|row| row.leads)?;
            let place = |row: &(SocketAddr, SocketAddr)| row.1 == leads.operators;
            self.places.iter().position(place)
        })
    }

    /// Waits until every member counts, is heard and lacks nothing.
    fn await_whole(&self, count: usize) {
        eventually("every member counts", || {
            let members = self.members();
            let whole = |row: &MemberStatus| row.voter && row.alive && row.behind == 0;
            (members.len() == count && members.iter().all(whole)).then_some(())
        });
    }

    fn history(&self) -> Vec<Receipt> {
        let operator = self.operator();
        let runtime = runtime();
        eventually("the history is read", || {
            runtime.block_on(operator.history(1_000)).ok()
        })
    }
}

fn drain(id: &str, expected: u64) -> Command {
    Command {
        id: id.to_owned(),
        operator: "ann".to_owned(),
        expected,
        change: Change::PutDrain(Drain::Vm(format!("vm-{id}"))),
    }
}

/// Sends a command until there is an answer to it.
fn submit(runtime: &Runtime, operator: &OperatorClient, command: &Command) -> Option<Accepted> {
    eventually("the command is answered", || {
        match runtime.block_on(operator.submit(command)) {
            Ok(accepted) => Some(Some(accepted)),
            Err(OperatorError::Refused { .. }) => Some(None),
            Err(OperatorError::NoResponse { .. }) => None,
        }
    })
}

/// Operators that race each other until told to stop; each returns what was accepted from it.
fn race(cluster: &Cluster, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<(Command, Accepted)>>> {
    let racer = |name: usize| {
        let (operator, stop) = (cluster.operator(), Arc::clone(stop));
        move || {
            let runtime = runtime();
            let mut accepted = Vec::new();
            for turn in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(status) = runtime.block_on(operator.status()) else {
                    continue;
                };
                let command = drain(&format!("r{name}-{turn}"), status.version);
                if let Some(answer) = submit(&runtime, &operator, &command) {
                    accepted.push((command, answer));
                }
                std::thread::sleep(RACE_PAUSE);
            }
            accepted
        }
    };
    (0..3).map(|name| std::thread::spawn(racer(name))).collect()
}

/// Every accepted command, sent again, gets the answer that its operator got.
fn check(cluster: &Cluster, racers: Vec<JoinHandle<Vec<(Command, Accepted)>>>) {
    let runtime = runtime();
    let operator = cluster.operator();
    let mut versions = Vec::new();
    let mut count = 0;
    for racer in racers {
        for (command, answer) in racer.join().unwrap() {
            versions.push(answer.version);
            count += 1;
            // A lost one would be refused now, as its version is long past.
            let again = submit(&runtime, &operator, &command);
            assert_eq!(again, Some(answer), "{} sent again", command.id);
        }
    }
    versions.sort_unstable();
    versions.dedup();
    assert_eq!(versions.len(), count, "one winner a version");
    assert!(count > 0, "nothing was accepted");
    eprintln!("{count} commands accepted");
}

#[test]
fn nothing_accepted_is_lost_when_leaders_are_killed_and_frozen_under_racing_operators() {
    let mut cluster = Cluster::start(3);
    cluster.await_whole(3);
    let stop = Arc::new(AtomicBool::new(false));
    let racers = race(&cluster, &stop);
    for fault in 0..4 {
        let leader = cluster.leader();
        let before = cluster.history().len();
        if fault % 2 == 0 {
            cluster.kill(leader);
        } else {
            cluster.signal(leader, "STOP");
        }
        eventually("another leader takes commands", || {
            (cluster.history().len() > before + 3).then_some(())
        });
        if fault % 2 == 0 {
            cluster.launch(leader);
        } else {
            cluster.signal(leader, "CONT");
        }
        cluster.await_whole(3);
    }
    // A leader that nobody hears takes nothing that its end could lose.
    let leader = cluster.leader();
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    for at in &others {
        cluster.signal(*at, "STOP");
    }
    let client = Client::new(cluster.places[leader].1, &Secret::new(SECRET), PATIENCE).unwrap();
    let unheard = drain("unheard", 0);
    let answer = runtime().block_on(client.call::<Value>("submit", &unheard));
    let refused = answer.unwrap_err().to_string();
    // Neither accepted nor lost to a race: it cannot be known.
    assert!(
        refused.contains("unknown") || refused.contains("no_quorum"),
        "{refused}"
    );
    cluster.kill(leader);
    for at in &others {
        cluster.signal(*at, "CONT");
    }
    let before = cluster.history().len();
    eventually("the others take commands", || {
        (cluster.history().len() > before + 3).then_some(())
    });
    cluster.launch(leader);
    cluster.await_whole(3);
    stop.store(true, Ordering::SeqCst);
    check(&cluster, racers);
}

#[test]
fn a_second_disk_is_lost_right_after_the_first_was_repaired() {
    let mut cluster = Cluster::start(3);
    cluster.await_whole(3);
    let stop = Arc::new(AtomicBool::new(false));
    let racers = race(&cluster, &stop);
    for lost in [0, 1, 2] {
        cluster.kill(lost);
        let name = format!("control-{lost}");
        let row = || cluster.members().into_iter().find(|row| row.name == name);
        eventually("the silence is noticed", || row().filter(|row| !row.alive));
        fs::remove_dir_all(cluster.data(lost)).unwrap();
        cluster.launch(lost);
        // The lost disk is never heard again: this is the new one, and it counts.
        let row = || cluster.members().into_iter().find(|row| row.name == name);
        eventually("the new disk counts", || {
            row().filter(|row| row.alive && row.voter)
        });
    }
    stop.store(true, Ordering::SeqCst);
    cluster.await_whole(3);
    check(&cluster, racers);
}

#[test]
fn a_restart_of_all_keeps_everything_and_a_replica_alone_refuses() {
    let mut cluster = Cluster::start(3);
    cluster.await_whole(3);
    let (runtime, operator) = (runtime(), cluster.operator());
    let commands: Vec<Command> = (0..50).map(|at| drain(&format!("c{at}"), at)).collect();
    for command in &commands {
        assert!(submit(&runtime, &operator, command).is_some());
    }
    for at in 0..3 {
        cluster.kill(at);
    }
    cluster.launch(0);
    let alone = runtime.block_on(operator.submit(&drain("alone", 50)));
    assert!(
        matches!(alone, Err(OperatorError::NoResponse { .. })),
        "{alone:?}"
    );
    assert!(runtime.block_on(operator.status()).is_err());
    for at in 1..3 {
        cluster.launch(at);
    }
    for (version, command) in (1..).zip(&commands) {
        let answer = submit(&runtime, &operator, command);
        assert_eq!(answer, Some(Accepted { version }));
    }
    // The process holds its folder: a second one on it ends at once.
    let path = cluster.fleet.folder.path().join("control-0.json");
    let second = std::process::Command::new(CONTROL).arg(path).output();
    let text = String::from_utf8_lossy(&second.unwrap().stderr).into_owned();
    assert!(
        text.contains("another process uses this data folder"),
        "{text}"
    );
}

#[test]
fn a_member_is_added_and_the_leader_removed_and_a_damaged_log_is_refused() {
    let mut cluster = Cluster::start(3);
    cluster.await_whole(3);
    let runtime = runtime();
    let stop = Arc::new(AtomicBool::new(false));
    let racers = race(&cluster, &stop);
    cluster.launch(3);
    let (peers, operators) = cluster.places[3];
    let name = "control-3".to_owned();
    let add = MemberChange::Add {
        name,
        peers,
        operators,
    };
    let operator = cluster.operator();
    eventually("the member is added", || {
        runtime.block_on(operator.change_members(&add)).ok()
    });
    cluster.await_whole(4);
    let leader = cluster.leader();
    let name = format!("control-{leader}");
    let remove = MemberChange::Remove { name };
    eventually("the leader is removed", || {
        runtime.block_on(operator.change_members(&remove)).ok()
    });
    cluster.kill(leader);
    cluster.await_whole(3);
    stop.store(true, Ordering::SeqCst);
    check(&cluster, racers);

    let log = fs::read_dir(cluster.data(leader))
        .unwrap()
        .map(|row| row.unwrap().path());
    let log = log
        .filter(|path| path.to_string_lossy().contains("log-"))
        .max()
        .unwrap();
    let mut bytes = fs::read(&log).unwrap();
    bytes[24] ^= 1;
    fs::write(&log, bytes).unwrap();
    let path = cluster
        .fleet
        .folder
        .path()
        .join(format!("control-{leader}.json"));
    let output = std::process::Command::new(CONTROL)
        .arg(path)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(
        text.contains("damaged at byte 20") && text.contains(&log.display().to_string()),
        "{text}"
    );
}

/// A shell that bounds the size of files, then becomes the control VM.
const BOUNDED: &str = "#!/bin/bash\ntrap '' XFSZ\nulimit -f 24\nexec \"$CONTROL\" \"$1\"\n";

#[test]
fn a_disk_that_takes_no_more_is_a_plain_refusal_and_loses_nothing() {
    let fleet = Fleet::new();
    let (peers, operators) = (free_address(), free_address());
    let mut settings = fleet.settings("control-1", "derwent-a");
    settings["listeners"] = json!({"operators": operators, "peers": peers});
    settings["data_dir"] = json!(fleet.folder.path().join("data"));
    let script = fleet.folder.path().join("bounded");
    fs::write(&script, BOUNDED.replace("$CONTROL", CONTROL)).unwrap();
    fs::set_permissions(&script, fs::Permissions::from_mode(0o755)).unwrap();

    let process = fleet.start(script.to_str().unwrap(), &settings);
    let (runtime, operator) = (
        runtime(),
        OperatorClient::new(vec![operators], Secret::new(SECRET)),
    );
    let mut accepted = 0;
    let refused = loop {
        match runtime.block_on(operator.submit(&drain(&format!("c{accepted}"), accepted))) {
            Ok(_) => accepted += 1,
            Err(error) => break error.to_string(),
        }
        assert!(accepted < 10_000, "the bound has no effect");
    };
    assert!(accepted > 20, "{accepted}");
    assert!(refused.contains("\"disk\""), "{refused}");
    drop(process);

    let _process = fleet.start(CONTROL, &settings);
    for at in 0..accepted {
        let answer = submit(&runtime, &operator, &drain(&format!("c{at}"), at));
        assert_eq!(answer, Some(Accepted { version: at + 1 }));
    }
}
