//! Versions through separate processes: restarts, freezes, a zone that is cut off.

mod common;
#[path = "scenario/relay.rs"]
mod relay;

use {
    common::{Fleet, Process, SECRET, eventually, free_address},
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
/// More changes than a difference holds.
const HUNDREDS: u64 = 250;

struct Control {
    fleet: Fleet,
    operators: SocketAddr,
    peers: SocketAddr,
    process: Process,
}

impl Control {
    fn start() -> Self {
        let fleet = Fleet::new();
        let [operators, peers] = [(); 2].map(|()| free_address());
        let mut settings = fleet.settings("control-1", "derwent-a");
        settings["listeners"] = json!({"operators": operators, "peers": peers});
        let process = fleet.start(CONTROL, &settings);
        Self {
            fleet,
            operators,
            peers,
            process,
        }
    }

    fn call(&self, method: &str, params: &Value) -> Value {
        let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
        let mut answer = outbound::agent(Duration::from_secs(30))
            .post(format!("http://{}/", self.operators))
            .header(SECRET_HEADER, SECRET)
            .send(body.to_string())
            .unwrap();
        serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap()
    }

    /// Accepts changes up to `version`.
    fn change(&self, from: u64, version: u64) {
        for at in from..version {
            let drain = json!({"put_drain": {"vm": format!("none-{at}")}});
            let id = format!("c-{at}");
            let command = json!({"id": id, "operator": "ann", "expected": at, "change": drain});
            let answer = self.call("submit", &command);
            assert_eq!(answer["result"]["version"], at + 1, "{answer}");
        }
    }

    /// Settings of an entry VM whose rounds are short.
    fn entry(&self, name: &str, zone: &str, seeds: &[SocketAddr], control: SocketAddr) -> Vm {
        let mut settings = self.fleet.settings(name, zone);
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
        control.fleet.start(ENTRY, &self.settings)
    }

    fn lookup(&self) -> Value {
        serde_json::from_str(&get(self.callers, "/v1/lookup")).unwrap()
    }

    fn version(&self) -> u64 {
        self.lookup()["version"].as_u64().unwrap()
    }

    fn named(&self) -> Vec<String> {
        let rows = self.lookup();
        let rows = rows["vms"].as_array().unwrap().iter();
        let mut names: Vec<String> = rows.map(|row| row["vm"].as_str().unwrap().into()).collect();
        names.sort();
        names
    }

    fn reaches(&self, version: u64) {
        eventually("the version is in force", || {
            (self.version() == version).then_some(())
        });
    }

    /// The first look-up that names this VM itself was made under `version`.
    fn starts_at(&self, version: u64) {
        let own = self.settings["vm"].as_str().unwrap();
        let first = eventually("the VM names itself", || {
            let table = self.lookup();
            let mut rows = table["vms"].as_array()?.iter();
            rows.any(|row| row["vm"] == own).then_some(table)
        });
        assert_eq!(first["version"], version);
    }

    fn names(&self, expected: &[&str]) {
        eventually(&format!("look-ups name {expected:?}"), || {
            (self.named() == expected).then_some(())
        });
    }
}

fn get(address: SocketAddr, path: &str) -> String {
    let agent = outbound::agent(Duration::from_secs(30));
    let mut answer = agent.get(format!("http://{address}{path}")).call().unwrap();
    answer.body_mut().read_to_string().unwrap()
}

#[test]
fn a_restart_without_a_disk_starts_from_the_zone() {
    let mut control = Control::start();
    let first = control.entry("e1", "derwent-a", &[], control.peers);
    let others = ["e2", "e3", "e4"]
        .map(|name| control.entry(name, "derwent-a", &[first.members], control.peers));
    let _first = first.start(&control);
    let mut processes = others.each_ref().map(|vm| vm.start(&control));
    first.names(&["e1", "e2", "e3", "e4"]);
    // Hundreds of changes go by without one of them.
    processes[0].signal("KILL");
    processes[0].wait();
    control.change(0, HUNDREDS);
    for vm in [&first, &others[1], &others[2]] {
        vm.reaches(HUNDREDS);
    }
    first.names(&["e1", "e3", "e4"]);
    control.process.signal("KILL");
    control.process.wait();
    processes[0] = others[0].start(&control);
    others[0].starts_at(HUNDREDS);
    first.names(&["e1", "e2", "e3", "e4"]);
}

#[test]
fn a_restart_with_a_disk_and_no_one_to_ask_starts_from_the_disk() {
    let mut control = Control::start();
    let mut vm = control.entry("e1", "derwent-a", &[], control.peers);
    vm.settings["spread"]["data_dir"] = json!(control.fleet.folder.path().join("data"));
    let mut process = vm.start(&control);
    control.change(0, 3);
    vm.reaches(3);
    control.process.signal("KILL");
    process.signal("KILL");
    process.wait();
    control.process.wait();
    vm.settings["spread"]["start_ms"] = json!(300);
    let _process = vm.start(&control);
    vm.starts_at(3);
}

#[test]
fn a_frozen_vm_is_evicted_and_joins_again_under_the_new_version() {
    let control = Control::start();
    let first = control.entry("e1", "derwent-a", &[], control.peers);
    let second = control.entry("e2", "derwent-a", &[first.members], control.peers);
    let _first = first.start(&control);
    let frozen = second.start(&control);
    first.names(&["e1", "e2"]);
    frozen.signal("STOP");
    first.names(&["e1"]);
    control.change(0, HUNDREDS);
    first.reaches(HUNDREDS);
    frozen.signal("CONT");
    first.names(&["e1", "e2"]);
    second.reaches(HUNDREDS);
    let metrics = get(second.admin, "/metrics");
    assert!(metrics.contains("member_frozen"), "{metrics}");
}

#[test]
fn a_zone_that_is_cut_off_goes_on_and_catches_up() {
    let control = Control::start();
    let way = Relay::start(control.peers);
    let first = control.entry("e1", "derwent-b", &[], way.address);
    let second = control.entry("e2", "derwent-b", &[first.members], way.address);
    let _first = first.start(&control);
    let mut process = second.start(&control);
    control.change(0, 2);
    for vm in [&first, &second] {
        vm.reaches(2);
    }
    way.set_cut(true);
    control.change(2, 5);
    process.signal("KILL");
    process.wait();
    first.names(&["e1"]);
    let _second = second.start(&control);
    second.starts_at(2);
    second.names(&["e1", "e2"]);
    way.set_cut(false);
    for vm in [&first, &second] {
        vm.reaches(5);
    }
    eventually("control knows the versions", || {
        let answer = control.call("fleet", &json!({}));
        let rows = answer["result"].as_array()?.clone();
        let right = |row: &Value| row["version"] == 5 && row["zone"] == "derwent-b";
        (rows.len() == 2 && rows.iter().all(right)).then_some(())
    });
}
