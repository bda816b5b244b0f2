//! What a claim costs: three entry VMs with a disk on loopback, an upstream that answers at once.
//!
//! `cargo bench --bench claims`; not part of CI.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/scenario/fake.rs"]
#[allow(dead_code)] // The bench uses a part of it.
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
const HIGHEST_US: u64 = 60_000_000;

struct Vm {
    callers: SocketAddr,
    admin: SocketAddr,
    log: std::path::PathBuf,
    _process: Process,
}

fn agent() -> Agent {
    outbound::agent(Duration::from_secs(30))
}

fn start(fleet: &TestEnv) -> (Vec<Vm>, Vec<FakeUpstream>) {
    let peers = [(); VMS].map(|()| free_address());
    let mut fakes = Vec::new();
    let mut vms = Vec::new();
    for (at, peer) in peers.iter().enumerate() {
        let [callers, upstreams, admin] = [(); 3].map(|()| free_address());
        let folder = fleet.folder.path().join(format!("disk-{at}"));
        let mut row = fleet.settings(&format!("entry-{at}"), "derwent-a");
        row["listeners"] =
            json!({"callers": callers, "upstreams": upstreams, "peers": peer, "admin": admin});
        row["claims"] = json!({"groups": [{"name": "derwent", "ledgers": peers}]});
        row["data_dir"] = json!(folder);
        vms.push(Vm {
            callers,
            admin,
            log: folder.join("ledger/ledger.log"),
            _process: fleet.start(ENTRY, &row),
        });
        for service in ["cellwatch", "swapdesk"] {
            let name = format!("{service}-{at}");
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
        eventually("both kinds are served", || {
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
    request.send("cell 3").is_ok_and(|mut answer| {
        answer.body_mut().read_to_string().is_ok() && answer.status() == 200
    })
}

/// Closed-loop callers against the first VM.
fn measure(callers: SocketAddr, path: &str, width: usize, run: &str) -> (Histogram<u64>, u64) {
    let worker = |worker: usize| {
        let (path, run) = (path.to_owned(), run.to_owned());
        thread::spawn(move || {
            let mut times = Histogram::<u64>::new_with_max(HIGHEST_US, 3).unwrap();
            let (agent, mut failed) = (agent(), 0);
            for at in 0..REQUESTS / width {
                let start = Instant::now();
                let served = send(&agent, callers, &path, &format!("{run}-{worker}-{at}"));
                failed += u64::from(!served);
                let time = u64::try_from(start.elapsed().as_micros()).unwrap();
                times.record(time).unwrap();
            }
            (times, failed)
        })
    };
    let workers: Vec<_> = (0..width).map(worker).collect();
    let mut total = Histogram::<u64>::new_with_max(HIGHEST_US, 3).unwrap();
    let mut failed = 0;
    for worker in workers {
        let (times, more) = worker.join().unwrap();
        total.add(times).unwrap();
        failed += more;
    }
    (total, failed)
}

fn counter(vm: &Vm, name: &str) -> u64 {
    let answer = agent().get(format!("http://{}/metrics", vm.admin)).call();
    let text = answer.unwrap().body_mut().read_to_string().unwrap();
    let label = format!("events{{what=\"{name}\"}} ");
    let row = text.lines().find_map(|line| line.strip_prefix(&label));
    row.map_or(0, |value| value.parse().unwrap())
}

fn sum(vms: &[Vm], name: &str) -> u64 {
    vms.iter().map(|vm| counter(vm, name)).sum()
}

fn file_bytes(vms: &[Vm]) -> u64 {
    let length = |vm: &Vm| fs::metadata(&vm.log).unwrap().len();
    vms.iter().map(length).sum()
}

#[allow(clippy::cast_precision_loss)] // Figures for reading.
fn main() {
    let fleet = TestEnv::new();
    let (vms, _fakes) = start(&fleet);
    for width in [1, 16] {
        for (path, claimed) in [("cellwatch/check", false), ("swapdesk/book", true)] {
            let names = ["ledger_syncs", "claim_calls", "claim_bytes"];
            let before = names.map(|name| sum(&vms, name));
            let stored = file_bytes(&vms);
            let run = format!("{path}-{width}").replace('/', "-");
            let (times, failed) = measure(vms[0].callers, path, width, &run);
            // The third ledger may still be told.
            thread::sleep(Duration::from_millis(500));
            println!(
                "{path} {width} callers: p50 {} us, p99 {} us, {failed} of {REQUESTS} failed",
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
            );
            if claimed {
                for (name, before) in names.iter().zip(before) {
                    let each = (sum(&vms, name) - before) as f64 / REQUESTS as f64;
                    println!("  {name} a claim, over all VMs: {each:.2}");
                }
                let each = (file_bytes(&vms) - stored) as f64 / REQUESTS as f64;
                println!("  file bytes a claim, over all VMs: {each:.0}");
            }
        }
    }
}
