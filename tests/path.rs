//! The whole path through separate processes: announce, look up, request, drain, stop.

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

struct Small {
    fleet: Fleet,
    operators: SocketAddr,
    callers: SocketAddr,
    upstreams: SocketAddr,
    admin: SocketAddr,
    entry: Process,
    _control: Process,
}

fn start() -> Small {
    let fleet = Fleet::new();
    let [operators, peers, callers, upstreams, admin] = [(); 5].map(|()| free_address());
    let mut settings = fleet.settings("control-1", "derwent-a");
    settings["listeners"] = json!({"operators": operators, "peers": peers});
    let control = fleet.start(CONTROL, &settings);
    let mut settings = fleet.settings("entry-1", "derwent-a");
    settings["listeners"] = json!({"callers": callers, "upstreams": upstreams, "admin": admin});
    settings["spread"] = json!({"control": [peers]});
    let entry = fleet.start(ENTRY, &settings);
    Small {
        fleet,
        operators,
        callers,
        upstreams,
        admin,
        entry,
        _control: control,
    }
}

fn agent() -> Agent {
    outbound::agent(Duration::from_secs(30))
}

fn ask(callers: SocketAddr, path: &str) -> (u16, String) {
    let answer = agent()
        .post(format!("http://{callers}{path}"))
        .send("cell 3");
    let mut answer = answer.unwrap();
    let status = answer.status().as_u16();
    (status, answer.body_mut().read_to_string().unwrap())
}

impl Small {
    fn operate(&self, words: &[&str]) -> (bool, String) {
        let output = Command::new(OPERATOR)
            .args([
                "--output",
                "json",
                "--control",
                &self.operators.to_string(),
                "--secret",
            ])
            .arg(self.fleet.folder.path().join("secret"))
            .args(words)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.success(), text + &errors)
    }
}

#[test]
fn a_request_is_served_and_a_drain_takes_effect() {
    let small = start();
    let _sample = SampleUpstream::start("u1", "cellwatch", 3, small.upstreams).unwrap();
    let mut table = agent()
        .get(format!("http://{}/v1/lookup", small.callers))
        .call()
        .unwrap();
    let table: Value = serde_json::from_str(&table.body_mut().read_to_string().unwrap()).unwrap();
    assert_eq!(table["vms"][0]["address"], small.callers.to_string());

    let (status, body) = ask(small.callers, "/cellwatch/check/buoy-7");
    assert_eq!(
        (status, body.as_str()),
        (200, "u1 ran POST /cellwatch/check/buoy-7 cell 3\n")
    );

    let (done, text) = small.operate(&["drain", "upstream/u1"]);
    assert!(done, "{text}");
    let (status, body) = eventually("the drain is in force", || {
        Some(ask(small.callers, "/cellwatch/check")).filter(|answer| answer.0 != 200)
    });
    assert_eq!(status, 503);
    assert!(body.contains("\"ran\":\"no\""), "{body}");

    let (done, text) = small.operate(&["undrain", "upstream/u1"]);
    assert!(done, "{text}");
    eventually("the drain has ended", || {
        Some(ask(small.callers, "/cellwatch/check")).filter(|answer| answer.0 == 200)
    });
}

#[test]
fn racing_operators_have_one_winner_and_the_other_is_told() {
    let small = start();
    let (won, _) = small.operate(&[
        "--operator",
        "ann",
        "--expected",
        "0",
        "drain",
        "vm/entry-9",
    ]);
    let (lost, text) = small.operate(&[
        "--operator",
        "bob",
        "--expected",
        "0",
        "drain",
        "vm/entry-8",
    ]);
    assert!(won && !lost);
    assert!(text.contains("made by ann"), "{text}");
}

#[test]
fn a_planned_stop_ends_with_exit_code_zero() {
    let mut small = start();
    let _sample = SampleUpstream::start("u1", "cellwatch", 3, small.upstreams).unwrap();
    assert_eq!(ask(small.callers, "/cellwatch/check").0, 200);
    small.entry.signal("TERM");
    assert!(small.entry.wait().success());
}

#[test]
fn an_operator_can_ask_what_was_decided_for_a_request() {
    let small = start();
    let sample = SampleUpstream::start("u1", "cellwatch", 3, small.upstreams).unwrap();
    let target = format!("http://{}/cellwatch/check", small.callers);
    let answer = agent().post(target).send("x").unwrap();
    let request = answer.headers()["siskinstep-request"].to_str().unwrap();
    let admin = small.admin.to_string();
    let explained = eventually("the decisions are noted", || {
        let (done, text) = small.operate(&["explain", request, "--entry", &admin]);
        Some(text).filter(|text| done && text.contains("answered"))
    });
    let steps: Value = serde_json::from_str(&explained).unwrap();
    assert_eq!(steps[0]["step"]["entered"]["kind"], "check");
    assert_eq!(
        steps[1]["step"]["dispatched"]["upstream"],
        sample.address.to_string()
    );
    assert_eq!(steps[2]["step"]["answered"]["status"], 200);
    let (known, _) = small.operate(&["explain", "entry-1-0-1", "--entry", &admin]);
    assert!(!known, "a request of another incarnation is not known");
}
