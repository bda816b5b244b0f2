//! One request path from end to end through separate processes: announcement, look-up, request,
//! drain, explain, stop.

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

struct Cluster {
    env: TestEnv,
    operators: SocketAddr,
    callers: SocketAddr,
    upstreams: SocketAddr,
    admin: SocketAddr,
    entry: Process,
    _control: Process,
}

fn start() -> Cluster {
    let env = TestEnv::new();
    let [operators, peers, callers, upstreams, admin] = [(); 5].map(|()| free_address());
    let mut settings = env.settings("control-1", "derwent-a");
    settings["listeners"] = json!({"operators": operators, "peers": peers});
    let control = env.start(CONTROL, &settings);
    let mut settings = env.settings("entry-1", "derwent-a");
    settings["listeners"] = json!({"callers": callers, "upstreams": upstreams, "admin": admin});
    settings["spread"] = json!({"control": [peers]});
    let entry = env.start(ENTRY, &settings);
    Cluster {
        env,
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

fn post(callers: SocketAddr, path: &str) -> (u16, String) {
    let response = agent()
        .post(format!("http://{callers}{path}"))
        .send("cell 3");
    let mut response = response.unwrap();
    let status = response.status().as_u16();
    (status, response.body_mut().read_to_string().unwrap())
}

impl Cluster {
    fn run_operator(&self, arguments: &[&str]) -> (bool, String) {
        let output = Command::new(OPERATOR)
            .args([
                "--output",
                "json",
                "--control",
                &self.operators.to_string(),
                "--secret",
            ])
            .arg(self.env.folder.path().join("secret"))
            .args(arguments)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.success(), text + &errors)
    }
}

#[test]
fn a_request_is_served_and_a_drain_takes_effect() {
    let cluster = start();
    let _sample = SampleUpstream::start("u1", "cellwatch", 3, cluster.upstreams).unwrap();
    let mut lookup = agent()
        .get(format!("http://{}/v1/lookup", cluster.callers))
        .call()
        .unwrap();
    let lookup: Value = serde_json::from_str(&lookup.body_mut().read_to_string().unwrap()).unwrap();
    assert_eq!(lookup["vms"][0]["address"], cluster.callers.to_string());

    let (status, body) = post(cluster.callers, "/cellwatch/check/buoy-7");
    assert_eq!(
        (status, body.as_str()),
        (200, "u1 ran POST /cellwatch/check/buoy-7 cell 3\n")
    );

    let (succeeded, text) = cluster.run_operator(&["drain", "upstream/u1"]);
    assert!(succeeded, "{text}");
    let (status, body) = eventually("the drain takes effect", || {
        Some(post(cluster.callers, "/cellwatch/check")).filter(|response| response.0 != 200)
    });
    assert_eq!(status, 503);
    assert!(body.contains("\"ran\":\"no\""), "{body}");

    let (succeeded, text) = cluster.run_operator(&["undrain", "upstream/u1"]);
    assert!(succeeded, "{text}");
    eventually("the drain has ended", || {
        Some(post(cluster.callers, "/cellwatch/check")).filter(|response| response.0 == 200)
    });
}

#[test]
fn of_two_conflicting_commands_one_is_refused_with_the_name_of_the_winner() {
    let cluster = start();
    let (first_accepted, _) = cluster.run_operator(&[
        "--operator",
        "ann",
        "--expected",
        "0",
        "drain",
        "vm/entry-9",
    ]);
    let (second_accepted, text) = cluster.run_operator(&[
        "--operator",
        "bob",
        "--expected",
        "0",
        "drain",
        "vm/entry-8",
    ]);
    assert!(first_accepted && !second_accepted);
    assert!(text.contains("made by ann"), "{text}");
}

#[test]
fn a_planned_stop_exits_with_code_zero() {
    let mut cluster = start();
    let _sample = SampleUpstream::start("u1", "cellwatch", 3, cluster.upstreams).unwrap();
    assert_eq!(post(cluster.callers, "/cellwatch/check").0, 200);
    cluster.entry.signal("TERM");
    assert!(cluster.entry.wait().success());
}

#[test]
fn explain_lists_the_decisions_on_a_request() {
    let cluster = start();
    let sample = SampleUpstream::start("u1", "cellwatch", 3, cluster.upstreams).unwrap();
    let target = format!("http://{}/cellwatch/check", cluster.callers);
    let response = agent().post(target).send("x").unwrap();
    let request = response.headers()["siskinstep-request"].to_str().unwrap();
    let admin = cluster.admin.to_string();
    let explained = eventually("the decisions are recorded", || {
        let (succeeded, text) = cluster.run_operator(&["explain", request, "--entry", &admin]);
        Some(text).filter(|text| succeeded && text.contains("answered"))
    });
    let steps: Value = serde_json::from_str(&explained).unwrap();
    assert_eq!(steps[0]["step"]["entered"]["kind"], "check");
    assert_eq!(
        steps[1]["step"]["dispatched"]["upstream"],
        sample.address.to_string()
    );
    assert_eq!(steps[2]["step"]["answered"]["status"], 200);
    let (is_known, _) = cluster.run_operator(&["explain", "entry-1-0-1", "--entry", &admin]);
    assert!(!is_known, "a request of another incarnation is unknown");
}
