//! Three control VMs as separate processes: no accepted command is lost when members are killed,
//! frozen, restarted or lose their disk while operators submit concurrent commands.

mod common;

use {
    common::{Process, TestEnv, WAIT_TIMEOUT, eventually, free_address},
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

const SUBMIT_INTERVAL: Duration = Duration::from_millis(60);

struct Cluster {
    env: TestEnv,
    /// Peer and operator address of each control VM.
    addresses: Vec<(SocketAddr, SocketAddr)>,
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
            env: TestEnv::new(),
            addresses: (0..5).map(|_| (free_address(), free_address())).collect(),
            processes: (0..5).map(|_| None).collect(),
            founders,
        };
        for member in 0..founders {
            cluster.launch(member);
        }
        cluster
    }

    fn data_dir(&self, member: usize) -> PathBuf {
        self.env.folder.path().join(format!("data-{member}"))
    }

    fn launch(&mut self, member: usize) {
        let mut configured: Vec<usize> = (0..self.founders).collect();
        if member >= self.founders {
            configured.push(member);
        }
        let row = |member: usize| {
            let (peers, operators) = self.addresses[member];
            json!({"name": format!("control-{member}"), "peers": peers, "operators": operators})
        };
        let members: Vec<_> = configured.into_iter().map(row).collect();
        let (peers, operators) = self.addresses[member];
        let mut settings = self.env.settings(&format!("control-{member}"), "derwent-a");
        settings["listeners"] = json!({"operators": operators, "peers": peers});
        settings["data_dir"] = json!(self.data_dir(member));
        settings["members"] = json!(members);
        settings["agree"] = json!({"snapshot_entries": 20});
        self.processes[member] = Some(self.env.start(CONTROL, &settings));
    }

    /// Kills the process with `SIGKILL`.
    fn kill(&mut self, member: usize) {
        drop(self.processes[member].take());
    }

    fn signal(&self, member: usize, name: &str) {
        self.processes[member].as_ref().unwrap().signal(name);
    }

    fn operator(&self) -> OperatorClient {
        let addresses = self.addresses.iter().take(self.founders).map(|row| row.1);
        OperatorClient::new(addresses.collect(), Secret::new(&self.env.secret))
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
            let is_leader = |row: &(SocketAddr, SocketAddr)| row.1 == leads.operators;
            self.addresses.iter().position(is_leader)
        })
    }

    /// Waits until there are `count` members, all of them alive, voting and caught up.
    fn await_healthy(&self, count: usize) {
        eventually("every member is alive, votes and has caught up", || {
            let members = self.members();
            let is_healthy = |row: &MemberStatus| row.voter && row.alive && row.behind == 0;
            (members.len() == count && members.iter().all(is_healthy)).then_some(())
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

/// Resends a command until it is accepted (`Some`) or refused (`None`).
fn submit(runtime: &Runtime, operator: &OperatorClient, command: &Command) -> Option<Accepted> {
    eventually("the command is accepted or refused", || {
        match runtime.block_on(operator.submit(command)) {
            Ok(accepted) => Some(Some(accepted)),
            Err(OperatorError::Refused { .. }) => Some(None),
            Err(OperatorError::NoResponse { .. }) => None,
        }
    })
}

/// Operators that submit conflicting commands until `stop` is set; each returns its accepted ones.
fn spawn_writers(
    cluster: &Cluster,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<(Command, Accepted)>>> {
    let writer = |index: usize| {
        let (operator, stop) = (cluster.operator(), Arc::clone(stop));
        move || {
            let runtime = runtime();
            let mut accepted = Vec::new();
            for round in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(status) = runtime.block_on(operator.status()) else {
                    continue;
                };
                let command = drain(&format!("r{index}-{round}"), status.version);
                if let Some(response) = submit(&runtime, &operator, &command) {
                    accepted.push((command, response));
                }
                std::thread::sleep(SUBMIT_INTERVAL);
            }
            accepted
        }
    };
    (0..3)
        .map(|index| std::thread::spawn(writer(index)))
        .collect()
}

/// Checks that each accepted command, submitted again, gets the response that its operator got.
fn check_accepted(cluster: &Cluster, writers: Vec<JoinHandle<Vec<(Command, Accepted)>>>) {
    let runtime = runtime();
    let operator = cluster.operator();
    let mut versions = Vec::new();
    let mut count = 0;
    for writer in writers {
        for (command, response) in writer.join().unwrap() {
            versions.push(response.version);
            count += 1;
            // A lost command would be refused now: the version that it expects is outdated.
            let again = submit(&runtime, &operator, &command);
            assert_eq!(again, Some(response), "{} submitted again", command.id);
        }
    }
    versions.sort_unstable();
    versions.dedup();
    assert_eq!(versions.len(), count, "one accepted command per version");
    assert!(count > 0, "no command was accepted");
    eprintln!("{count} commands accepted");
}

#[test]
fn accepted_commands_survive_killed_and_frozen_leaders_under_concurrent_operators() {
    let mut cluster = Cluster::start(3);
    cluster.await_healthy(3);
    let stop = Arc::new(AtomicBool::new(false));
    let writers = spawn_writers(&cluster, &stop);
    for fault in 0..4 {
        let leader = cluster.leader();
        let before = cluster.history().len();
        if fault % 2 == 0 {
            cluster.kill(leader);
        } else {
            cluster.signal(leader, "STOP");
        }
        eventually("another leader accepts commands", || {
            (cluster.history().len() > before + 3).then_some(())
        });
        if fault % 2 == 0 {
            cluster.launch(leader);
        } else {
            cluster.signal(leader, "CONT");
        }
        cluster.await_healthy(3);
    }
    // An isolated leader accepts no command, so that its crash loses none.
    let leader = cluster.leader();
    let followers: Vec<usize> = (0..3).filter(|member| *member != leader).collect();
    for member in &followers {
        cluster.signal(*member, "STOP");
    }
    let client = Client::new(
        cluster.addresses[leader].1,
        &Secret::new(&cluster.env.secret),
        WAIT_TIMEOUT,
    )
    .unwrap();
    let isolated = drain("unheard", 0);
    let response = runtime().block_on(client.call::<Value>("submit", &isolated));
    let refused = response.unwrap_err().to_string();
    // Neither accepted nor refused for its expected version: the outcome is unknown.
    assert!(
        refused.contains("unknown") || refused.contains("no_quorum"),
        "{refused}"
    );
    cluster.kill(leader);
    for member in &followers {
        cluster.signal(*member, "CONT");
    }
    let before = cluster.history().len();
    eventually("the other members accept commands", || {
        (cluster.history().len() > before + 3).then_some(())
    });
    cluster.launch(leader);
    cluster.await_healthy(3);
    stop.store(true, Ordering::SeqCst);
    check_accepted(&cluster, writers);
}

#[test]
fn a_disk_lost_right_after_another_was_repaired_loses_no_accepted_command() {
    let mut cluster = Cluster::start(3);
    cluster.await_healthy(3);
    let stop = Arc::new(AtomicBool::new(false));
    let writers = spawn_writers(&cluster, &stop);
    for lost in [0, 1, 2] {
        cluster.kill(lost);
        let name = format!("control-{lost}");
        let row = || cluster.members().into_iter().find(|row| row.name == name);
        eventually("the lost member is reported as not alive", || {
            row().filter(|row| !row.alive)
        });
        fs::remove_dir_all(cluster.data_dir(lost)).unwrap();
        cluster.launch(lost);
        // The old disk is gone for good: the member that is alive and votes has the new one.
        let row = || cluster.members().into_iter().find(|row| row.name == name);
        eventually("the member with the new disk is alive and votes", || {
            row().filter(|row| row.alive && row.voter)
        });
    }
    stop.store(true, Ordering::SeqCst);
    cluster.await_healthy(3);
    check_accepted(&cluster, writers);
}

#[test]
fn a_full_restart_keeps_all_commands_and_a_member_without_quorum_refuses() {
    let mut cluster = Cluster::start(3);
    cluster.await_healthy(3);
    let (runtime, operator) = (runtime(), cluster.operator());
    let commands: Vec<Command> = (0..50)
        .map(|version| drain(&format!("c{version}"), version))
        .collect();
    for command in &commands {
        assert!(submit(&runtime, &operator, command).is_some());
    }
    for member in 0..3 {
        cluster.kill(member);
    }
    cluster.launch(0);
    let alone = runtime.block_on(operator.submit(&drain("alone", 50)));
    assert!(
        matches!(alone, Err(OperatorError::NoResponse { .. })),
        "{alone:?}"
    );
    assert!(runtime.block_on(operator.status()).is_err());
    for member in 1..3 {
        cluster.launch(member);
    }
    for (version, command) in (1..).zip(&commands) {
        let response = submit(&runtime, &operator, command);
        assert_eq!(response, Some(Accepted { version }));
    }
    // The process locks its data folder: a second process on it exits at once.
    let path = cluster.env.folder.path().join("control-0.json");
    let second = std::process::Command::new(CONTROL).arg(path).output();
    let text = String::from_utf8_lossy(&second.unwrap().stderr).into_owned();
    assert!(
        text.contains("another process uses this data folder"),
        "{text}"
    );
}

#[test]
fn a_member_can_be_added_and_the_leader_removed_and_a_corrupted_log_is_refused() {
    let mut cluster = Cluster::start(3);
    cluster.await_healthy(3);
    let runtime = runtime();
    let stop = Arc::new(AtomicBool::new(false));
    let writers = spawn_writers(&cluster, &stop);
    cluster.launch(3);
    let (peers, operators) = cluster.addresses[3];
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
    cluster.await_healthy(4);
    let leader = cluster.leader();
    let name = format!("control-{leader}");
    let remove = MemberChange::Remove { name };
    eventually("the leader is removed", || {
        runtime.block_on(operator.change_members(&remove)).ok()
    });
    cluster.kill(leader);
    cluster.await_healthy(3);
    stop.store(true, Ordering::SeqCst);
    check_accepted(&cluster, writers);

    let files = fs::read_dir(cluster.data_dir(leader))
        .unwrap()
        .map(|row| row.unwrap().path());
    let log = files
        .filter(|path| path.to_string_lossy().contains("log-"))
        .max()
        .unwrap();
    let mut bytes = fs::read(&log).unwrap();
    bytes[24] ^= 1;
    fs::write(&log, bytes).unwrap();
    let path = cluster
        .env
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

/// Guards against a command that was accepted and is reported as refused, by a control VM of another cluster that was
/// started at the address of one that is gone.
#[test]
fn a_control_vm_of_another_cluster_at_a_former_address_answers_no_operator() {
    let mut cluster = Cluster::start(3);
    cluster.await_healthy(3);
    let (runtime, operator) = (runtime(), cluster.operator());
    let first = drain("first", 0);
    let accepted = submit(&runtime, &operator, &first);
    assert!(accepted.is_some());
    let second = drain("second", 1);
    let response = submit(&runtime, &operator, &second);
    assert!(response.is_some());
    // The operator tries the control VMs in the order of its list.
    cluster.kill(0);
    let other = TestEnv::new();
    let (peers, operators) = (free_address(), cluster.addresses[0].1);
    let mut settings = other.settings("control-1", "derwent-a");
    settings["listeners"] = json!({"operators": operators, "peers": peers});
    settings["data_dir"] = json!(other.folder.path().join("data"));
    let _other = other.start(CONTROL, &settings);
    assert_eq!(submit(&runtime, &operator, &second), response);
}

/// Script that limits the size of files, so that larger writes fail with an error instead of a
/// signal, and then executes the control VM.
const LIMITED_SCRIPT: &str = "#!/bin/bash\ntrap '' XFSZ\nulimit -f 24\nexec \"$CONTROL\" \"$1\"\n";

#[test]
fn a_full_disk_refuses_commands_and_keeps_accepted_ones() {
    let env = TestEnv::new();
    let (peers, operators) = (free_address(), free_address());
    let mut settings = env.settings("control-1", "derwent-a");
    settings["listeners"] = json!({"operators": operators, "peers": peers});
    settings["data_dir"] = json!(env.folder.path().join("data"));
    let script = env.folder.path().join("bounded");
    fs::write(&script, LIMITED_SCRIPT.replace("$CONTROL", CONTROL)).unwrap();
    fs::set_permissions(&script, fs::Permissions::from_mode(0o755)).unwrap();

    let process = env.start(script.to_str().unwrap(), &settings);
    let (runtime, operator) = (
        runtime(),
        OperatorClient::new(vec![operators], Secret::new(&env.secret)),
    );
    let mut accepted = 0;
    let refused = loop {
        match runtime.block_on(operator.submit(&drain(&format!("c{accepted}"), accepted))) {
            Ok(_) => accepted += 1,
            Err(error) => break error.to_string(),
        }
        assert!(accepted < 10_000, "the file size limit has no effect");
    };
    assert!(accepted > 20, "{accepted}");
    assert!(refused.contains("\"disk\""), "{refused}");
    drop(process);

    let _process = env.start(CONTROL, &settings);
    for version in 0..accepted {
        let response = submit(&runtime, &operator, &drain(&format!("c{version}"), version));
        assert_eq!(
            response,
            Some(Accepted {
                version: version + 1
            })
        );
    }
}
