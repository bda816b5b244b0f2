//! Measures the latency and the cost of a claim on three entry VMs with disks on loopback, with
//! upstreams that respond immediately.
//!
//! Run with `cargo bench --bench claims`; not part of CI.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/scenario/fake.rs"]
#[allow(dead_code)] // This bench uses only some of its items.
mod fake;

use {
    common::{Process, TestEnv, eventually, free_address},
    fake::FakeUpstream,
    hdrhistogram::Histogram,
    serde_json::json,
    siskinstep::edge::outbound,
    std::{
        fs,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    ureq::Agent,
};

const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const VMS: usize = 3;
const REQUESTS: usize = 4_000;
const MAX_LATENCY_US: u64 = 60_000_000;

struct Vm {
    callers: SocketAddr,
    admin: SocketAddr,
    ledger_log: std::path::PathBuf,
    _process: Process,
}

fn agent() -> Agent {
    outbound::agent(Duration::from_secs(30))
}

fn start(fleet: &TestEnv) -> (Vec<Vm>, Vec<FakeUpstream>) {
    let peers = [(); VMS].map(|()| free_address());
    let mut fakes = Vec::new();
    let mut vms = Vec::new();
    for (index, peer) in peers.iter().enumerate() {
        let [callers, upstreams, admin] = [(); 3].map(|()| free_address());
        let data_dir = fleet.folder.path().join(format!("disk-{index}"));
        let mut settings = fleet.settings(&format!("entry-{index}"), "derwent-a");
        settings["listeners"] =
            json!({"callers": callers, "upstreams": upstreams, "peers": peer, "admin": admin});
        settings["claims"] = json!({"groups": [{"name": "derwent", "ledgers": peers}]});
        settings["data_dir"] = json!(data_dir);
        vms.push(Vm {
            callers,
            admin,
            ledger_log: data_dir.join("ledger/ledger.log"),
            _process: fleet.start(ENTRY, &settings),
        });
        for service in ["cellwatch", "swapdesk"] {
            let name = format!("{service}-{index}");
            fakes.push(FakeUpstream::start(
                &name,
                service,
                64,
                Duration::ZERO,
                upstreams,
            ));
        }
    }
    for vm in &vms {
        let agent = agent();
        eventually("requests of both kinds are served", || {
            let key = format!("warm-{}-{:x}", vm.callers.port(), rand::random::<u32>());
            let served = send(&agent, vm.callers, "swapdesk/book", &key)
                && send(&agent, vm.callers, "cellwatch/check", &key);
            served.then_some(())
        });
    }
    (vms, fakes)
}

fn send(agent: &Agent, callers: SocketAddr, path: &str, key: &str) -> bool {
    let request = agent.post(format!("http://{callers}/{path}"));
    let request = request.header("idempotency-key", key);
    request.send("cell 3").is_ok_and(|mut response| {
        response.body_mut().read_to_string().is_ok() && response.status() == 200
    })
}

/// Sends requests from closed-loop callers, `concurrency` of them, to one VM.
///
/// Returns the latencies in microseconds and the number of failed requests.
fn measure(
    callers: SocketAddr,
    path: &str,
    concurrency: usize,
    key_prefix: &str,
) -> (Histogram<u64>, u64) {
    let worker = |worker: usize| {
        let (path, key_prefix) = (path.to_owned(), key_prefix.to_owned());
        thread::spawn(move || {
            let mut latency_us = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).unwrap();
            let (agent, mut failed) = (agent(), 0);
            for index in 0..REQUESTS / concurrency {
                let start = Instant::now();
                let served = send(
                    &agent,
                    callers,
                    &path,
                    &format!("{key_prefix}-{worker}-{index}"),
                );
                failed += u64::from(!served);
                let micros = u64::try_from(start.elapsed().as_micros()).unwrap();
                latency_us.record(micros).unwrap();
            }
            (latency_us, failed)
        })
    };
    let workers: Vec<_> = (0..concurrency).map(worker).collect();
    let mut total = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).unwrap();
    let mut failed = 0;
    for worker in workers {
        let (latency_us, failures) = worker.join().unwrap();
        total.add(latency_us).unwrap();
        failed += failures;
    }
    (total, failed)
}

/// Value of an event counter of the VM, 0 if the event has not occurred.
fn counter(vm: &Vm, name: &str) -> u64 {
    let response = agent().get(format!("http://{}/metrics", vm.admin)).call();
    let text = response.unwrap().body_mut().read_to_string().unwrap();
    let label = format!("events{{what=\"{name}\"}} ");
    let row = text.lines().find_map(|line| line.strip_prefix(&label));
    row.map_or(0, |value| value.parse().unwrap())
}

fn counter_sum(vms: &[Vm], name: &str) -> u64 {
    vms.iter().map(|vm| counter(vm, name)).sum()
}

/// Total size of the ledger logs.
fn file_bytes(vms: &[Vm]) -> u64 {
    let length = |vm: &Vm| fs::metadata(&vm.ledger_log).unwrap().len();
    vms.iter().map(length).sum()
}

#[allow(clippy::cast_precision_loss)] // Human-readable output.
fn main() {
    let fleet = TestEnv::new();
    let (vms, _fakes) = start(&fleet);
    for concurrency in [1, 16] {
        for (path, claimed) in [("cellwatch/check", false), ("swapdesk/book", true)] {
            let names = ["ledger_syncs", "claim_calls", "claim_bytes"];
            let before = names.map(|name| counter_sum(&vms, name));
            let bytes_before = file_bytes(&vms);
            let key_prefix = format!("{path}-{concurrency}").replace('/', "-");
            let (latency_us, failed) = measure(vms[0].callers, path, concurrency, &key_prefix);
            // The update of the third ledger may still be in flight.
            thread::sleep(Duration::from_millis(500));
            println!(
                "{path} {concurrency} callers: p50 {} us, p99 {} us, {failed} of {REQUESTS} failed",
                latency_us.value_at_quantile(0.5),
                latency_us.value_at_quantile(0.99),
            );
            if claimed {
                for (name, before) in names.iter().zip(before) {
                    let per_claim = (counter_sum(&vms, name) - before) as f64 / REQUESTS as f64;
                    println!("  {name} a claim, over all VMs: {per_claim:.2}");
                }
                let per_claim = (file_bytes(&vms) - bytes_before) as f64 / REQUESTS as f64;
                println!("  file bytes a claim, over all VMs: {per_claim:.0}");
            }
        }
    }
}
