//! A shift between two regions through separate processes: its cap, a dead target, its end.

mod common;

use {
    common::{Fleet, Process, eventually, free_address},
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

struct Small {
    fleet: Fleet,
    operators: SocketAddr,
    /// Two zones of derwent, then tamar.
    vms: Vec<Vm>,
    agent: Agent,
    _control: Process,
}

fn start() -> Small {
    let fleet = Fleet::new();
    let [operators, control_peers] = [(); 2].map(|()| free_address());
    let mut settings = fleet.settings("control-1", "derwent-a");
    settings["listeners"] = json!({"operators": operators, "peers": control_peers});
    let control = fleet.start(CONTROL, &settings);
    let members = [(); 3].map(|()| free_address());
    let zones = ["derwent-a", "derwent-b", "tamar-a"];
    let vm = |(at, zone): (usize, &str)| {
        let [callers, upstreams, peers, admin] = [(); 4].map(|()| free_address());
        let mut settings = fleet.settings(&format!("entry-{at}"), zone);
        settings["listeners"] = json!({"callers": callers, "upstreams": upstreams,
            "peers": peers, "admin": admin, "members": members[at]});
        settings["spread"] = json!({"control": [control_peers]});
        settings["membership"] = json!({"seeds": members});
        settings["shift"] = json!({"ramp_ms": 0});
        let process = fleet.start(ENTRY, &settings);
        Vm {
            callers,
            upstreams,
            admin,
            process,
        }
    };
    let vms = zones.into_iter().enumerate().map(vm).collect();
    let agent = outbound::agent(Duration::from_secs(30));
    Small {
        fleet,
        operators,
        vms,
        agent,
        _control: control,
    }
}

impl Small {
    fn operate(&self, words: &[&str]) {
        let control = self.operators.to_string();
        let output = Command::new(OPERATOR)
            .args(["--control", &control, "--secret"])
            .arg(self.fleet.folder.path().join("secret"))
            .args(words)
            .output()
            .unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// Sends a request to an entry VM; the status, and the name of the upstream that ran it or the
    /// refusal.
    fn ask(&self, vm: usize) -> (u16, String) {
        let address = self.vms[vm].callers;
        let answer = self.agent.post(format!("http://{address}/cellwatch/check"));
        let mut answer = answer.send("cell 3").unwrap();
        let text = answer.body_mut().read_to_string().unwrap();
        let refusal = text.starts_with('{').then_some(text.as_str());
        let name = refusal
            .or_else(|| text.split(' ').next())
            .unwrap_or_default();
        (answer.status().as_u16(), name.to_owned())
    }

    fn shift(&self, vm: usize) -> Value {
        let address = self.vms[vm].admin;
        let mut answer = self
            .agent
            .get(format!("http://{address}/status"))
            .call()
            .unwrap();
        let text = answer.body_mut().read_to_string().unwrap();
        let status: Value = serde_json::from_str(&text).unwrap();
        status["shifts"][0].clone()
    }
}

#[test]
fn a_shift_keeps_its_cap_outlives_its_target_and_ends() {
    let mut small = start();
    let upstream = |at: usize| {
        SampleUpstream::start(&format!("u{at}"), "cellwatch", 9, small.vms[at].upstreams)
    };
    let _upstreams = [0, 1, 2].map(|at| upstream(at).unwrap());
    for vm in [0, 1] {
        eventually("requests are served at home", || {
            Some(small.ask(vm)).filter(|answer| *answer == (200, format!("u{vm}")))
        });
    }
    let share = format!("{CAP_PERMILLE}permille");
    small.operate(&[
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

    // The cap holds after every single request, over both entry VMs together.
    let (mut sent, mut moved) = (0, 0);
    eventually("the shift moves", || {
        for vm in [0, 1] {
            let (status, name) = small.ask(vm);
            assert_eq!(status, 200, "{name}");
            sent += 1;
            moved += usize::from(name == "u2");
            assert!(moved * 1_000 <= CAP_PERMILLE * sent, "{moved} of {sent}");
        }
        (moved >= 60).then_some(())
    });
    // The entry VMs count what the callers saw.
    let count = |field: &str| {
        let rows = [0, 1].map(|vm| small.shift(vm)[field].as_u64().unwrap());
        usize::try_from(rows[0] + rows[1]).unwrap()
    };
    assert!(count("moved") >= moved && count("moved") * 1_000 <= CAP_PERMILLE * count("seen"));
    assert!(count("seen") <= sent);

    // Without its target it waits; every request is served at home, but for one of each
    // entry VM whose way back the kill may have cut.
    small.vms[2].process.child.kill().unwrap();
    small.vms[2].process.wait();
    let mut cut = 0;
    for request in 0..100 {
        let (status, name) = small.ask(request % 2);
        let is_cut = name.contains("\"ran\":\"unknown\"");
        cut += usize::from(is_cut);
        assert!(is_cut || (status == 200 && name != "u2"), "{status} {name}");
    }
    assert!(cut <= 2, "{cut} requests were cut");
    eventually("the shift waits for headroom", || {
        (small.ask(0).0 == 200 && small.shift(0)["wait"] == "no_headroom").then_some(())
    });

    small.operate(&["end-shift", "one"]);
    eventually("the shift has ended", || {
        small.shift(0).is_null().then_some(())
    });
    assert_eq!(small.ask(0), (200, "u0".to_owned()));
}
