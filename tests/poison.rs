//! A request that crashes upstreams loses two of a zone at most, through separate processes.

mod common;
#[path = "scenario/fake.rs"]
#[allow(dead_code)] // This file uses a part of it.
mod fake;

use {
    common::{Fleet, Process, eventually, free_address},
    fake::{Fake, Fault},
    serde_json::{Value, json},
    siskinstep::edge::outbound,
    std::{net::SocketAddr, time::Duration},
};

const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const VMS: usize = 2;
const EACH: usize = 3;

/// Two entry VMs of one availability zone with three upstreams each.
struct World {
    callers: Vec<SocketAddr>,
    admin: Vec<SocketAddr>,
    fakes: Vec<Fake>,
    _processes: Vec<Process>,
    _fleet: Fleet,
}

fn start(fault: &Fault) -> World {
    let fleet = Fleet::new();
    let members = [(); VMS].map(|()| free_address());
    let (mut callers, mut admin, mut fakes) = (Vec::new(), Vec::new(), Vec::new());
    let mut processes = Vec::new();
    for at in 0..VMS {
        let [caller, upstreams, operator] = [(); 3].map(|()| free_address());
        let mut row = fleet.settings(&format!("entry-{at}"), "derwent-a");
        row["listeners"] = json!({
            "callers": caller, "upstreams": upstreams, "admin": operator,
            "peers": free_address(), "members": members[at],
        });
        row["membership"] = json!({"seeds": members});
        processes.push(fleet.start(ENTRY, &row));
        for upstream in 0..EACH {
            let name = format!("u{at}{upstream}");
            let fake = Fake::start(&name, "cellwatch", 9, Duration::ZERO, upstreams);
            fake.fault(fault.clone());
            fakes.push(fake);
        }
        callers.push(caller);
        admin.push(operator);
    }
    let world = World {
        callers,
        admin,
        fakes,
        _processes: processes,
        _fleet: fleet,
    };
    for at in 0..VMS {
        eventually("the entry VM serves", || {
            (world.ask(at, "warm").0 == 200).then_some(())
        });
        eventually("the VMs know each other", || {
            (world.members(at) == VMS).then_some(())
        });
    }
    world
}

impl World {
    fn ask(&self, at: usize, body: &str) -> (u16, String) {
        let agent = outbound::agent(Duration::from_secs(30));
        let sent = agent.post(format!("http://{}/cellwatch/check", self.callers[at]));
        let mut answer = sent.send(body).unwrap();
        let status = answer.status().as_u16();
        (status, answer.body_mut().read_to_string().unwrap())
    }

    fn members(&self, at: usize) -> usize {
        let agent = outbound::agent(Duration::from_secs(5));
        let answer = agent.get(format!("http://{}/v1/lookup", self.callers[at]));
        let text = answer.call().unwrap().body_mut().read_to_string().unwrap();
        let value: Value = serde_json::from_str(&text).unwrap();
        value["vms"].as_array().unwrap().len()
    }

    fn listed(&self, at: usize) -> Vec<Value> {
        let agent = outbound::agent(Duration::from_secs(5));
        let answer = agent.get(format!("http://{}/poison", self.admin[at]));
        let text = answer.call().unwrap().body_mut().read_to_string().unwrap();
        let value: Value = serde_json::from_str(&text).unwrap();
        value["requests"].as_array().unwrap().clone()
    }

    fn crashes(&self) -> u32 {
        self.fakes.iter().map(|fake| fake.seen().crashes).sum()
    }

    /// Waits until both VMs list the request with so many lost upstreams.
    fn until_listed(&self, losses: usize) {
        eventually("both VMs know of the loss", || {
            let knows = |at| {
                let rows = self.listed(at);
                rows.iter()
                    .any(|row| row["upstreams"].as_array().unwrap().len() == losses)
            };
            (0..VMS).all(knows).then_some(())
        });
    }
}

#[test]
fn a_request_that_crashes_upstreams_is_refused_in_the_zone_after_two() {
    let world = start(&Fault::DieOn("poison".to_owned()));
    for turn in 0..VMS {
        let (status, text) = world.ask(turn, "poison");
        assert_eq!(status, 502, "{text}");
        assert!(text.contains("\"ran\":\"unknown\""), "{text}");
        world.until_listed(turn + 1);
    }
    for turn in 0..8 {
        let (status, text) = world.ask(turn % VMS, "poison");
        assert_eq!(status, 422, "{text}");
        assert!(
            text.contains("poisoned") && text.contains("\"ran\":\"unknown\""),
            "{text}"
        );
    }
    assert_eq!(world.crashes(), 2);
    assert_eq!(world.ask(0, "innocent").0, 200);

    let print = world.listed(1)[0]["print"].as_str().unwrap().to_owned();
    let agent = outbound::agent(Duration::from_secs(5));
    let lift = agent.post(format!("http://{}/poison/lift", world.admin[1]));
    assert_eq!(lift.send(&print).unwrap().status(), 200);
    eventually("both VMs have lifted it", || {
        (0..VMS).all(|at| world.listed(at).is_empty()).then_some(())
    });
    assert_eq!(world.ask(0, "poison").0, 502);
}

#[test]
fn cut_answers_of_upstreams_that_live_on_charge_nobody() {
    let world = start(&Fault::None);
    for fake in &world.fakes {
        fake.fault(Fault::Truncate);
    }
    for _ in 0..4 {
        assert_eq!(world.ask(0, "cut").0, 502);
        // Longer than a burst, which would be two connections of one process.
        std::thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(world.listed(0), Vec::<Value>::new());
    assert_eq!(world.listed(1), Vec::<Value>::new());
}
