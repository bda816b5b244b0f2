//! Distribution of configuration versions across separate processes: restarts, freezes, a zone
//! disconnected from control.

mod common;
#[path = "scenario/relay.rs"]
mod relay;

use {
    common::{Process, TestEnv, eventually, free_address},
    relay::Relay,
    serde_json::{Value, json},
    siskinstep::edge::{outbound, secret::SECRET_HEADER},
    std::{
        net::{SocketAddr, UdpSocket},
        time::Duration,
    },
};

const CONTROL: &str = env!("CARGO_BIN_EXE_siskinstep-control");
const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
/// More changes than one delta holds.
const MANY_CHANGES: u64 = 250;

struct Control {
    env: TestEnv,
    operators: SocketAddr,
    peers: SocketAddr,
    process: Process,
}

impl Control {
    fn start() -> Self {
        let env = TestEnv::new();
        let [operators, peers] = [(); 2].map(|()| free_address());
        let mut settings = env.settings("control-1", "derwent-a");
        settings["listeners"] = json!({"operators": operators, "peers": peers});
        let process = env.start(CONTROL, &settings);
        Self {
            env,
            operators,
            peers,
            process,
        }
    }

    fn call(&self, method: &str, params: &Value) -> Value {
        let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
        let mut response = outbound::agent(Duration::from_secs(30))
            .post(format!("http://{}/", self.operators))
            .header(SECRET_HEADER, &self.env.secret)
            .send(body.to_string())
            .unwrap();
        serde_json::from_str(&response.body_mut().read_to_string().unwrap()).unwrap()
    }

    /// Submits the changes that take the configuration from version `from` to `version`.
    fn submit_changes(&self, from: u64, version: u64) {
        for base in from..version {
            let drain = json!({"put_drain": {"vm": format!("none-{base}")}});
            let id = format!("c-{base}");
            let command = json!({"id": id, "operator": "ann", "expected": base, "change": drain});
            let response = self.call("submit", &command);
            assert_eq!(response["result"]["version"], base + 1, "{response}");
        }
    }

    /// An entry VM that is not started yet, with short gossip rounds and timeouts.
    fn entry_vm(&self, name: &str, zone: &str, seeds: &[SocketAddr], control: SocketAddr) -> Vm {
        let mut settings = self.env.settings(name, zone);
        let [callers, upstreams, peers, admin] = [(); 4].map(|()| free_address());
        let members = UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        settings["listeners"] = json!({"callers": callers, "upstreams": upstreams,
            "peers": peers, "admin": admin, "members": members});
        settings["membership"] = json!({"seeds": seeds, "round_ms": 50, "lease_ms": 1_000,
            "suspect_ms": 1_000});
        settings["spread"] = json!({"control": [control], "start_ms": 20_000});
        Vm {
            settings,
            callers,
            admin,
            members,
        }
    }
}

struct Vm {
    settings: Value,
    callers: SocketAddr,
    admin: SocketAddr,
    members: SocketAddr,
}

impl Vm {
    fn start(&self, control: &Control) -> Process {
        control.env.start(ENTRY, &self.settings)
    }

    fn lookup(&self) -> Value {
        serde_json::from_str(&get(self.callers, "/v1/lookup")).unwrap()
    }

    fn version(&self) -> u64 {
        self.lookup()["version"].as_u64().unwrap()
    }

    fn lookup_names(&self) -> Vec<String> {
        let rows = self.lookup();
        let rows = rows["vms"].as_array().unwrap().iter();
        let mut names: Vec<String> = rows.map(|row| row["vm"].as_str().unwrap().into()).collect();
        names.sort();
        names
    }

    fn await_version(&self, version: u64) {
        eventually("the version is in force", || {
            (self.version() == version).then_some(())
        });
    }

    /// Checks that the first look-up response that lists this VM is of `version`.
    fn assert_first_version(&self, version: u64) {
        let local = self.settings["vm"].as_str().unwrap();
        let first = eventually("the VM lists itself in its look-up responses", || {
            let lookup = self.lookup();
            let mut rows = lookup["vms"].as_array()?.iter();
            rows.any(|row| row["vm"] == local).then_some(lookup)
        });
        assert_eq!(first["version"], version);
    }

    fn await_names(&self, expected: &[&str]) {
        eventually(&format!("look-ups list {expected:?}"), || {
            (self.lookup_names() == expected).then_some(())
        });
    }
}

fn get(address: SocketAddr, path: &str) -> String {
    let agent = outbound::agent(Duration::from_secs(30));
    let mut response = agent.get(format!("http://{address}{path}")).call().unwrap();
    response.body_mut().read_to_string().unwrap()
}

#[test]
fn a_vm_restarted_without_a_disk_starts_with_the_version_of_its_zone() {
    let mut control = Control::start();
    let first = control.entry_vm("e1", "derwent-a", &[], control.peers);
    let others = ["e2", "e3", "e4"]
        .map(|name| control.entry_vm(name, "derwent-a", &[first.members], control.peers));
    let _first = first.start(&control);
    let mut processes = others.each_ref().map(|vm| vm.start(&control));
    first.await_names(&["e1", "e2", "e3", "e4"]);
    // One VM misses more changes than one delta holds.
    processes[0].signal("KILL");
    processes[0].wait();
    control.submit_changes(0, MANY_CHANGES);
    for vm in [&first, &others[1], &others[2]] {
        vm.await_version(MANY_CHANGES);
    }
    first.await_names(&["e1", "e3", "e4"]);
    control.process.signal("KILL");
    control.process.wait();
    processes[0] = others[0].start(&control);
    others[0].assert_first_version(MANY_CHANGES);
    first.await_names(&["e1", "e2", "e3", "e4"]);
}

#[test]
fn a_vm_restarted_without_reachable_sources_starts_with_the_version_on_its_disk() {
    let mut control = Control::start();
    let mut vm = control.entry_vm("e1", "derwent-a", &[], control.peers);
    vm.settings["spread"]["data_dir"] = json!(control.env.folder.path().join("data"));
    let mut process = vm.start(&control);
    control.submit_changes(0, 3);
    vm.await_version(3);
    control.process.signal("KILL");
    process.signal("KILL");
    process.wait();
    control.process.wait();
    vm.settings["spread"]["start_ms"] = json!(300);
    let _process = vm.start(&control);
    vm.assert_first_version(3);
}

#[test]
fn a_frozen_vm_is_evicted_and_rejoins_with_the_current_version() {
    let control = Control::start();
    let first = control.entry_vm("e1", "derwent-a", &[], control.peers);
    let second = control.entry_vm("e2", "derwent-a", &[first.members], control.peers);
    let _first = first.start(&control);
    let frozen = second.start(&control);
    first.await_names(&["e1", "e2"]);
    frozen.signal("STOP");
    first.await_names(&["e1"]);
    control.submit_changes(0, MANY_CHANGES);
    first.await_version(MANY_CHANGES);
    frozen.signal("CONT");
    first.await_names(&["e1", "e2"]);
    second.await_version(MANY_CHANGES);
    let metrics = get(second.admin, "/metrics");
    assert!(metrics.contains("member_frozen"), "{metrics}");
}

#[test]
fn a_zone_disconnected_from_control_keeps_running_and_catches_up() {
    let control = Control::start();
    let relay = Relay::start(control.peers);
    let first = control.entry_vm("e1", "derwent-b", &[], relay.address);
    let second = control.entry_vm("e2", "derwent-b", &[first.members], relay.address);
    let _first = first.start(&control);
    let mut process = second.start(&control);
    control.submit_changes(0, 2);
    for vm in [&first, &second] {
        vm.await_version(2);
    }
    relay.set_cut(true);
    control.submit_changes(2, 5);
    process.signal("KILL");
    process.wait();
    first.await_names(&["e1"]);
    let _second = second.start(&control);
    second.assert_first_version(2);
    second.await_names(&["e1", "e2"]);
    relay.set_cut(false);
    for vm in [&first, &second] {
        vm.await_version(5);
    }
    eventually("control has received the versions of both VMs", || {
        let response = control.call("fleet", &json!({}));
        let rows = response["result"].as_array()?.clone();
        let is_current = |row: &Value| row["version"] == 5 && row["zone"] == "derwent-b";
        (rows.len() == 2 && rows.iter().all(is_current)).then_some(())
    });
}
