//! Poison requests across separate processes: a request that crashes upstreams takes down at most
//! two in a zone.

mod common;
#[path = "scenario/fake.rs"]
#[allow(dead_code)] // The scenarios use the rest.
mod fake;

use {
    common::{Process, TestEnv, eventually, free_address},
    fake::{FakeUpstream, Fault},
    serde_json::{Value, json},
    siskinstep::edge::outbound,
    std::{net::SocketAddr, time::Duration},
};

const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const VMS: usize = 2;
const UPSTREAMS_PER_VM: usize = 3;

/// Two entry VMs of one availability zone, three upstreams each.
struct Cluster {
    callers: Vec<SocketAddr>,
    admin: Vec<SocketAddr>,
    fakes: Vec<FakeUpstream>,
    _processes: Vec<Process>,
    _env: TestEnv,
}

fn start(fault: &Fault) -> Cluster {
    let env = TestEnv::new();
    let members = [(); VMS].map(|()| free_address());
    let (mut callers, mut admin, mut fakes) = (Vec::new(), Vec::new(), Vec::new());
    let mut processes = Vec::new();
    for vm in 0..VMS {
        let [caller, upstreams, operator] = [(); 3].map(|()| free_address());
        let mut row = env.settings(&format!("entry-{vm}"), "derwent-a");
        row["listeners"] = json!({
            "callers": caller, "upstreams": upstreams, "admin": operator,
            "peers": free_address(), "members": members[vm],
        });
        row["membership"] = json!({"seeds": members});
        processes.push(env.start(ENTRY, &row));
        for upstream in 0..UPSTREAMS_PER_VM {
            let name = format!("u{vm}{upstream}");
            let fake = FakeUpstream::start(&name, "cellwatch", 9, Duration::ZERO, upstreams);
            fake.inject(fault.clone());
            fakes.push(fake);
        }
        callers.push(caller);
        admin.push(operator);
    }
    let cluster = Cluster {
        callers,
        admin,
        fakes,
        _processes: processes,
        _env: env,
    };
    for vm in 0..VMS {
        eventually("the entry VM serves", || {
            (cluster.post_check(vm, "warm").0 == 200).then_some(())
        });
        eventually("the VM has discovered both members", || {
            (cluster.member_count(vm) == VMS).then_some(())
        });
    }
    cluster
}

impl Cluster {
    fn post_check(&self, vm: usize, body: &str) -> (u16, String) {
        let agent = outbound::agent(Duration::from_secs(30));
        let sent = agent.post(format!("http://{}/cellwatch/check", self.callers[vm]));
        let mut response = sent.send(body).unwrap();
        let status = response.status().as_u16();
        (status, response.body_mut().read_to_string().unwrap())
    }

    fn member_count(&self, vm: usize) -> usize {
        let agent = outbound::agent(Duration::from_secs(5));
        let response = agent.get(format!("http://{}/v1/lookup", self.callers[vm]));
        let text = response
            .call()
            .unwrap()
            .body_mut()
            .read_to_string()
            .unwrap();
        let value: Value = serde_json::from_str(&text).unwrap();
        value["vms"].as_array().unwrap().len()
    }

    fn charged_requests(&self, vm: usize) -> Vec<Value> {
        let agent = outbound::agent(Duration::from_secs(5));
        let response = agent.get(format!("http://{}/poison", self.admin[vm]));
        let text = response
            .call()
            .unwrap()
            .body_mut()
            .read_to_string()
            .unwrap();
        let value: Value = serde_json::from_str(&text).unwrap();
        value["requests"].as_array().unwrap().clone()
    }

    fn crashes(&self) -> u32 {
        self.fakes.iter().map(|fake| fake.counters().crashes).sum()
    }

    /// Waits until both VMs charge some request with the loss of this many upstreams.
    fn await_losses(&self, losses: usize) {
        eventually("both VMs have recorded the loss", || {
            let has_losses = |vm| {
                let rows = self.charged_requests(vm);
                rows.iter()
                    .any(|row| row["upstreams"].as_array().unwrap().len() == losses)
            };
            (0..VMS).all(has_losses).then_some(())
        });
    }
}

#[test]
fn a_request_that_crashes_upstreams_is_refused_after_two_losses_in_the_zone() {
    let cluster = start(&Fault::TerminateOn("poison".to_owned()));
    for round in 0..VMS {
        let (status, text) = cluster.post_check(round, "poison");
        assert_eq!(status, 502, "{text}");
        assert!(text.contains("\"ran\":\"unknown\""), "{text}");
        cluster.await_losses(round + 1);
    }
    for round in 0..8 {
        let (status, text) = cluster.post_check(round % VMS, "poison");
        assert_eq!(status, 422, "{text}");
        assert!(
            text.contains("poisoned") && text.contains("\"ran\":\"unknown\""),
            "{text}"
        );
    }
    assert_eq!(cluster.crashes(), 2);
    assert_eq!(cluster.post_check(0, "innocent").0, 200);

    let fingerprint = cluster.charged_requests(1)[0]["print"]
        .as_str()
        .unwrap()
        .to_owned();
    let agent = outbound::agent(Duration::from_secs(5));
    let lift = agent.post(format!("http://{}/poison/lift", cluster.admin[1]));
    assert_eq!(lift.send(&fingerprint).unwrap().status(), 200);
    eventually("both VMs have lifted the refusal", || {
        (0..VMS)
            .all(|vm| cluster.charged_requests(vm).is_empty())
            .then_some(())
    });
    assert_eq!(cluster.post_check(0, "poison").0, 502);
}

#[test]
fn truncated_responses_of_live_upstreams_charge_no_request() {
    let cluster = start(&Fault::None);
    for fake in &cluster.fakes {
        fake.inject(Fault::Truncate);
    }
    for _ in 0..4 {
        assert_eq!(cluster.post_check(0, "cut").0, 502);
        // Longer than a burst: two connections that are cut within one count as a crash.
        std::thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(cluster.charged_requests(0), Vec::<Value>::new());
    assert_eq!(cluster.charged_requests(1), Vec::<Value>::new());
}
