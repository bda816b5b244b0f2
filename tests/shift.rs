//! A shift between two regions through separate processes: its cap, the loss of its target, its
//! removal.

mod common;

use {
    common::{Process, TestEnv, eventually, free_address},
    serde_json::{Value, json},
    siskinstep::{dev::sample::SampleUpstream, edge::outbound},
    std::{net::SocketAddr, process::Command, time::Duration},
    ureq::Agent,
};

const CONTROL: &str = env!("CARGO_BIN_EXE_siskinstep-control");
const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const OPERATOR: &str = env!("CARGO_BIN_EXE_siskinstep");
const CAP_PERMILLE: usize = 300;

struct Vm {
    callers: SocketAddr,
    upstreams: SocketAddr,
    admin: SocketAddr,
    process: Process,
}

struct Cluster {
    env: TestEnv,
    operators: SocketAddr,
    /// One each in two zones of derwent, then one in tamar.
    vms: Vec<Vm>,
    agent: Agent,
    _control: Process,
}

fn start() -> Cluster {
    let env = TestEnv::new();
    let [operators, control_peers] = [(); 2].map(|()| free_address());
    let mut settings = env.settings("control-1", "derwent-a");
    settings["listeners"] = json!({"operators": operators, "peers": control_peers});
    let control = env.start(CONTROL, &settings);
    let members = [(); 3].map(|()| free_address());
    let zones = ["derwent-a", "derwent-b", "tamar-a"];
    let vm = |(index, zone): (usize, &str)| {
        let [callers, upstreams, peers, admin] = [(); 4].map(|()| free_address());
        let mut settings = env.settings(&format!("entry-{index}"), zone);
        settings["listeners"] = json!({"callers": callers, "upstreams": upstreams,
            "peers": peers, "admin": admin, "members": members[index]});
        settings["spread"] = json!({"control": [control_peers]});
        settings["membership"] = json!({"seeds": members});
        settings["shift"] = json!({"ramp_ms": 0});
        let process = env.start(ENTRY, &settings);
        Vm {
            callers,
            upstreams,
            admin,
            process,
        }
    };
    let vms = zones.into_iter().enumerate().map(vm).collect();
    let agent = outbound::agent(Duration::from_secs(30));
    Cluster {
        env,
        operators,
        vms,
        agent,
        _control: control,
    }
}

impl Cluster {
    fn run_operator(&self, arguments: &[&str]) {
        let control = self.operators.to_string();
        let output = Command::new(OPERATOR)
            .args(["--control", &control, "--secret"])
            .arg(self.env.folder.path().join("secret"))
            .args(arguments)
            .output()
            .unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// Sends a request to an entry VM; returns the status, and the name of the upstream that ran it
    /// or the body of the refusal.
    fn post_check(&self, vm: usize) -> (u16, String) {
        let address = self.vms[vm].callers;
        let response = self.agent.post(format!("http://{address}/cellwatch/check"));
        let mut response = response.send("cell 3").unwrap();
        let text = response.body_mut().read_to_string().unwrap();
        let refusal = text.starts_with('{').then_some(text.as_str());
        let name = refusal
            .or_else(|| text.split(' ').next())
            .unwrap_or_default();
        (response.status().as_u16(), name.to_owned())
    }

    fn shift_status(&self, vm: usize) -> Value {
        let address = self.vms[vm].admin;
        let mut response = self
            .agent
            .get(format!("http://{address}/status"))
            .call()
            .unwrap();
        let text = response.body_mut().read_to_string().unwrap();
        let status: Value = serde_json::from_str(&text).unwrap();
        status["shifts"][0].clone()
    }
}

#[test]
fn a_shift_keeps_its_cap_survives_the_loss_of_its_target_and_ends() {
    let mut cluster = start();
    let upstream = |index: usize| {
        SampleUpstream::start(
            &format!("u{index}"),
            "cellwatch",
            9,
            cluster.vms[index].upstreams,
        )
    };
    let _upstreams = [0, 1, 2].map(|index| upstream(index).unwrap());
    for vm in [0, 1] {
        eventually("requests are served by the local upstream", || {
            Some(cluster.post_check(vm)).filter(|response| *response == (200, format!("u{vm}")))
        });
    }
    let share = format!("{CAP_PERMILLE}permille");
    cluster.run_operator(&[
        "shift",
        "one",
        "--service",
        "cellwatch",
        "--from",
        "region/derwent",
        "--to",
        "region/tamar",
        "--amount",
        &share,
    ]);

    // The cap holds after each request, summed over both entry VMs.
    let (mut sent, mut moved) = (0, 0);
    eventually("the shift has moved 60 requests", || {
        for vm in [0, 1] {
            let (status, name) = cluster.post_check(vm);
            assert_eq!(status, 200, "{name}");
            sent += 1;
            moved += usize::from(name == "u2");
            assert!(moved * 1_000 <= CAP_PERMILLE * sent, "{moved} of {sent}");
        }
        (moved >= 60).then_some(())
    });
    // The counters of the entry VMs agree with the responses to the callers.
    let count = |field: &str| {
        let rows = [0, 1].map(|vm| cluster.shift_status(vm)[field].as_u64().unwrap());
        usize::try_from(rows[0] + rows[1]).unwrap()
    };
    assert!(count("moved") >= moved && count("moved") * 1_000 <= CAP_PERMILLE * count("seen"));
    assert!(count("seen") <= sent);

    // Without its target the shift waits and requests are served locally. The kill may cut off the
    // response of one request per entry VM.
    cluster.vms[2].process.child.kill().unwrap();
    cluster.vms[2].process.wait();
    let mut cut_count = 0;
    for request in 0..100 {
        let (status, name) = cluster.post_check(request % 2);
        let is_cut = name.contains("\"ran\":\"unknown\"");
        cut_count += usize::from(is_cut);
        assert!(is_cut || (status == 200 && name != "u2"), "{status} {name}");
    }
    assert!(cut_count <= 2, "{cut_count} requests were cut");
    eventually("the shift reports that it waits for headroom", || {
        (cluster.post_check(0).0 == 200 && cluster.shift_status(0)["wait"] == "no_headroom")
            .then_some(())
    });

    cluster.run_operator(&["end-shift", "one"]);
    eventually("the shift has ended", || {
        cluster.shift_status(0).is_null().then_some(())
    });
    assert_eq!(cluster.post_check(0), (200, "u0".to_owned()));
}
