//! Traffic through separate processes: kills, restarts, stops and drains under load.

mod common;
#[allow(dead_code)] // The scenarios use the rest.
#[path = "scenario/fake.rs"]
mod fake;

use {
    common::{Process, TestEnv, eventually, free_address},
    fake::FakeUpstream,
    serde_json::{Value, json},
    siskinstep::edge::outbound,
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        process::Command,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const CONTROL: &str = env!("CARGO_BIN_EXE_siskinstep-control");
const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const OPERATOR: &str = env!("CARGO_BIN_EXE_siskinstep");
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

struct Cluster {
    env: TestEnv,
    settings: Value,
    operators: SocketAddr,
    callers: SocketAddr,
    upstreams: SocketAddr,
    admin: SocketAddr,
    _control: Process,
}

/// Status and body of each response; status 0 and the error text for a failed request.
type Responses = Vec<(u16, String)>;

impl Cluster {
    fn start() -> (Self, Process) {
        let env = TestEnv::new();
        let [operators, peers, callers, upstreams, admin] = [(); 5].map(|()| free_address());
        let mut control = env.settings("control-1", "derwent-a");
        control["listeners"] = json!({"operators": operators, "peers": peers});
        let control = env.start(CONTROL, &control);
        let mut settings = env.settings("entry-1", "derwent-a");
        settings["listeners"] = json!({
            "callers": callers, "upstreams": upstreams, "admin": admin, "peers": free_address(),
        });
        settings["spread"] = json!({"control": [peers]});
        let entry = env.start(ENTRY, &settings);
        let cluster = Self {
            env,
            settings,
            operators,
            callers,
            upstreams,
            admin,
            _control: control,
        };
        (cluster, entry)
    }

    fn run_operator(&self, arguments: &[&str]) {
        let status = Command::new(OPERATOR)
            .args(["--control", &self.operators.to_string(), "--secret"])
            .arg(self.env.folder.path().join("secret"))
            .args(arguments)
            .status();
        assert!(status.unwrap().success());
    }

    /// Callers that each send requests one after another until `stop` is set, or until `is_last`
    /// holds for the status of a response.
    fn load(
        &self,
        callers: usize,
        stop: &Arc<AtomicBool>,
        is_last: fn(u16) -> bool,
    ) -> Vec<JoinHandle<Responses>> {
        let url = format!("http://{}/cellwatch/check", self.callers);
        let spawn = |_| {
            let (url, stop) = (url.clone(), Arc::clone(stop));
            thread::spawn(move || post_until(&url, &stop, is_last))
        };
        (0..callers).map(spawn).collect()
    }

    fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.admin);
        let mut response = outbound::agent(REQUEST_TIMEOUT).get(url).call().unwrap();
        response.body_mut().read_to_string().unwrap()
    }

    fn status(&self) -> Value {
        let url = format!("http://{}/status", self.admin);
        let mut response = outbound::agent(REQUEST_TIMEOUT).get(url).call().unwrap();
        serde_json::from_str(&response.body_mut().read_to_string().unwrap()).unwrap()
    }
}

fn post_until(url: &str, stop: &AtomicBool, is_last: fn(u16) -> bool) -> Responses {
    let agent = outbound::agent(REQUEST_TIMEOUT);
    let mut responses = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let response = agent.post(url).send("x").map(|mut response| {
            let body = response.body_mut().read_to_string();
            (response.status().as_u16(), body.unwrap_or_default())
        });
        let response = response.unwrap_or_else(|error| (0, error.to_string()));
        let status = response.0;
        responses.push(response);
        if is_last(status) {
            break;
        }
        if status != 200 {
            thread::sleep(Duration::from_millis(5));
        }
    }
    responses
}

fn never(_: u16) -> bool {
    false
}

fn is_refused(status: u16) -> bool {
    status != 200
}

fn await_begun(fake: &FakeUpstream, count: u32) {
    let begun = fake.counters().begun;
    eventually("the upstream has begun the requests", || {
        Some(()).filter(|()| fake.counters().begun >= begun + count)
    });
}

#[test]
fn a_killed_and_restarted_entry_vm_never_exceeds_the_slots() {
    let (cluster, mut entry) = Cluster::start();
    let service_time = Duration::from_millis(300);
    let fake = FakeUpstream::start("u1", "cellwatch", 3, service_time, cluster.upstreams);
    let stop = Arc::default();
    let load = cluster.load(9, &stop, never);
    for _ in 0..4 {
        await_begun(&fake, 5);
        drop(entry);
        entry = cluster.env.start(ENTRY, &cluster.settings);
    }
    await_begun(&fake, 5);
    stop.store(true, Ordering::SeqCst);
    let served = load.into_iter().flat_map(|load| load.join().unwrap());
    assert!(served.filter(|(status, _)| *status == 200).count() > 10);
    assert_eq!(fake.counters().peak, 3);
}

#[test]
fn a_planned_stop_under_load_truncates_no_response() {
    let (cluster, mut entry) = Cluster::start();
    let service_time = Duration::from_millis(100);
    let fake = FakeUpstream::start("u1", "cellwatch", 3, service_time, cluster.upstreams);
    await_joined(&cluster);
    let stop = Arc::default();
    // Twice as many callers as slots, so that some requests are queued when the signal arrives.
    let load = cluster.load(6, &stop, is_refused);
    await_begun(&fake, 9);
    entry.signal("TERM");
    assert!(entry.wait().success());
    for responses in load {
        let responses = responses.join().unwrap();
        let (last, served) = responses.split_last().unwrap();
        assert!(served.iter().all(|(_, body)| body == "u1:x"));
        assert!(
            last.0 == 0 || last.1.contains("\"reason\":\"stopping\""),
            "{last:?}"
        );
        // Connections are refused once the listener is closed; the stop breaks none that is open.
        assert!(last.0 != 0 || last.1.contains("refused"), "{last:?}");
    }
}

fn await_joined(cluster: &Cluster) {
    eventually("the upstream has a home and is open", || {
        Some(()).filter(|()| cluster.status()["upstreams"][0]["open"] == true)
    });
}

#[test]
fn a_drain_reports_its_progress_and_duration() {
    let (cluster, _entry) = Cluster::start();
    let service_time = Duration::from_millis(600);
    let fake = FakeUpstream::start("u1", "cellwatch", 3, service_time, cluster.upstreams);
    await_joined(&cluster);
    let stop = Arc::default();
    let load = cluster.load(3, &stop, never);
    await_begun(&fake, 3);
    cluster.run_operator(&["drain", "upstream/u1"]);
    let row = eventually("the drain has ended", || {
        Some(cluster.status()["drains"][0].clone()).filter(|row| row["done"] == true)
    });
    let begun = fake.counters().begun;
    assert_eq!(
        (&row["drain"], &row["cause"]),
        (&json!("upstream u1"), &json!("operator"))
    );
    assert!(row["took_ms"].is_u64(), "{row}");
    eprintln!("drain: {row}");
    assert_eq!(fake.counters().running, 0);
    stop.store(true, Ordering::SeqCst);
    for responses in load {
        let responses = responses.join().unwrap();
        let is_complete = |(status, body): &(u16, String)| {
            (*status == 200 && body == "u1:x") || body.contains("\"ran\":\"no\"")
        };
        assert!(responses.iter().all(is_complete));
    }
    assert_eq!(fake.counters().begun, begun);
    let metrics = cluster.metrics();
    for name in [
        "drain_ms",
        "slots_free",
        "queue",
        "ring_slots",
        "ring_relay",
    ] {
        assert!(
            metrics.contains(&format!("level{{what=\"{name}\"}}")),
            "{name}"
        );
    }
}

#[test]
fn a_leaving_upstream_gets_no_new_requests_and_completes_those_in_flight() {
    let (cluster, _entry) = Cluster::start();
    let service_time = Duration::from_millis(200);
    let leaving = FakeUpstream::start("u1", "cellwatch", 3, service_time, cluster.upstreams);
    let remaining = FakeUpstream::start("u2", "cellwatch", 9, service_time, cluster.upstreams);
    let stop = Arc::default();
    let load = cluster.load(4, &stop, never);
    await_begun(&leaving, 3);
    leaving.leave();
    let row = eventually("the upstream has deregistered", || {
        Some(cluster.status()["drains"][0].clone()).filter(|row| row["done"] == true)
    });
    assert_eq!(row["cause"], "leaving");
    let begun = leaving.counters().begun;
    await_begun(&remaining, 12);
    assert_eq!(leaving.counters().begun, begun);
    stop.store(true, Ordering::SeqCst);
    for responses in load {
        let responses = responses.join().unwrap();
        let refused = responses.iter().take_while(|(status, _)| *status == 503);
        let refused_count = refused.count();
        assert!(
            responses[refused_count..]
                .iter()
                .all(|(status, _)| *status == 200)
        );
    }
}

#[test]
fn the_request_of_a_disconnected_caller_is_cancelled_and_keeps_its_slot_until_its_deadline() {
    let (cluster, _entry) = Cluster::start();
    let service_time = Duration::from_millis(700);
    let fake = FakeUpstream::start("u1", "cellwatch", 1, service_time, cluster.upstreams);
    await_joined(&cluster);
    let mut caller = TcpStream::connect(cluster.callers).unwrap();
    let request = "POST /cellwatch/check HTTP/1.1\r\nhost: x\r\ndeadline-ms: 1500\r\n\r\n";
    caller.write_all(request.as_bytes()).unwrap();
    await_begun(&fake, 1);
    drop(caller);
    eventually("the attempt is cancelled", || {
        let cancelled = "failures{reason=\"cancelled\"} 1\n";
        Some(()).filter(|()| cluster.metrics().contains(cancelled))
    });
    // The fake upstream continues, as if it had not noticed the closed connection.
    let stop = Arc::default();
    let responses = cluster.load(1, &stop, |_| true).remove(0).join().unwrap();
    assert_eq!(responses, [(200, "u1:x".to_owned())]);
    assert_eq!(fake.counters().peak, 1);
}

/// Settings of two entry VMs of one zone, each a membership seed of the other.
fn settings_of_two(env: &TestEnv) -> [Value; 2] {
    let members = [free_address(), free_address()];
    [0, 1].map(|index| {
        let mut settings = env.settings(&format!("entry-{}", index + 1), "derwent-a");
        settings["listeners"] = json!({
            "callers": free_address(), "upstreams": free_address(), "admin": free_address(),
            "peers": free_address(), "members": members[index],
        });
        settings["membership"] = json!({"seeds": members});
        settings
    })
}

/// Number of upstreams that are open at an entry VM, 0 if it does not respond.
fn open_count(settings: &Value) -> usize {
    let address = settings["listeners"]["admin"].as_str().unwrap();
    let response = outbound::agent(REQUEST_TIMEOUT)
        .get(format!("http://{address}/status"))
        .call();
    let Ok(mut response) = response else { return 0 };
    let text = response.body_mut().read_to_string().unwrap();
    let status: Value = serde_json::from_str(&text).unwrap();
    let rows = status["upstreams"].as_array().unwrap();
    rows.iter().filter(|row| row["open"] == true).count()
}

#[test]
fn upstreams_are_spread_over_the_entry_vms_of_a_zone_and_move_when_one_is_killed() {
    let env = TestEnv::new();
    let settings = settings_of_two(&env);
    let first = env.start(ENTRY, &settings[0]);
    let _second = env.start(ENTRY, &settings[1]);
    let address = |index: usize, name: &str| -> SocketAddr {
        let text = settings[index]["listeners"][name].as_str();
        text.unwrap().parse().unwrap()
    };
    eventually("the VMs have discovered each other", || {
        let url = format!("http://{}/v1/lookup", address(1, "callers"));
        let mut lookup = outbound::agent(REQUEST_TIMEOUT).get(url).call().unwrap();
        let lookup = lookup.body_mut().read_to_string().unwrap();
        Some(()).filter(|()| lookup.contains("entry-1"))
    });
    let service_time = Duration::from_millis(50);
    let start = |index| {
        let name = format!("u{index}");
        FakeUpstream::start(&name, "cellwatch", 3, service_time, address(1, "upstreams"))
    };
    let fakes: Vec<FakeUpstream> = (0..6).map(start).collect();
    eventually("each upstream has a home", || {
        Some(()).filter(|()| open_count(&settings[0]) + open_count(&settings[1]) == 6)
    });
    assert!(open_count(&settings[0]) > 0 && open_count(&settings[1]) > 0);

    // Callers of one VM reach the upstreams of the other.
    let stop = Arc::default();
    let url = format!("http://{}/cellwatch/check", address(1, "callers"));
    let spawn = |_| {
        let (url, stop) = (url.clone(), Arc::clone(&stop));
        thread::spawn(move || post_until(&url, &stop, never))
    };
    let load: Vec<JoinHandle<Responses>> = (0..20).map(spawn).collect();
    for fake in &fakes {
        await_begun(fake, 5);
    }
    drop(first);
    let killed = Instant::now();
    eventually("every upstream has moved", || {
        Some(()).filter(|()| open_count(&settings[1]) == 6)
    });
    eprintln!("moved after {:?}", killed.elapsed());
    for fake in &fakes {
        await_begun(fake, 5);
    }
    stop.store(true, Ordering::SeqCst);
    for responses in load {
        let responses = responses.join().unwrap();
        let invalid = responses
            .iter()
            .find(|(status, body)| *status == 200 && !body.ends_with(":x"));
        assert_eq!(invalid, None);
        assert!(responses.iter().all(|(status, _)| *status != 0));
    }
    assert!(fakes.iter().all(|fake| fake.counters().peak <= 3));
}
