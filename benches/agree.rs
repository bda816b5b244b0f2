//! Measures commit latency, disk syncs per commit, idle traffic and fail-over time of three control
//! VMs on loopback.
//!
//! Run with `cargo bench --bench agree`. Prints figures and asserts nothing.

use {
    hdrhistogram::Histogram,
    siskinstep::{
        agree::MemberConfig,
        control::{Control, Settings},
        edge::{Secret, client::Client},
        policy::{Change, Command, Drain},
        settings::{
            topology::{Kind, Topology},
            vm::Vm,
        },
    },
    std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::runtime::Runtime,
};

const REPLICAS: usize = 3;
const COMMITS: u64 = 500;
const CONCURRENCY: u64 = 16;
const IDLE_WINDOW: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const SECRET: &str = "bench-secret-0123456789";

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts a proxy that forwards connections to `to` and adds the bytes of both directions to
/// `bytes`; returns the address of the proxy.
fn counting_proxy(to: SocketAddr, bytes: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = Arc::clone(bytes);
    thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let Ok(outbound) = TcpStream::connect(to) else {
                continue;
            };
            let _ = inbound
                .set_nodelay(true)
                .and_then(|()| outbound.set_nodelay(true));
            for (from, to) in [(&inbound, &outbound), (&outbound, &inbound)] {
                let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                let bytes = Arc::clone(&bytes);
                thread::spawn(move || copy_counted(from, to, &bytes));
            }
        }
    });
    address
}

fn copy_counted(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicU64) -> io::Result<()> {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = from.read(&mut buffer)?;
        if read == 0 {
            return Ok(());
        }
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        to.write_all(&buffer[..read])?;
    }
}

fn topology() -> Topology {
    let mut topology = Topology::default();
    topology.add_region("derwent".to_owned(), vec!["derwent-a".to_owned()]);
    let kind = Kind {
        name: "check".to_owned(),
        service: siskinstep::keys::ServiceKey(0),
        worth: 10,
        deadline_ms: 1_000,
        at_most_once: false,
        repeatable: false,
    };
    topology.add_service("cellwatch".to_owned(), vec![kind]);
    topology
}

fn settings(
    index: usize,
    members: &[MemberConfig],
    listeners: &[SocketAddr],
    data_dir: &TempDir,
) -> Settings {
    let mut settings = Settings {
        vm: Vm {
            name: members[index].name.clone(),
            topology: topology(),
            ring: 4_096,
            data_dir: data_dir
                .path()
                .join(index.to_string())
                .display()
                .to_string(),
            ..Vm::default()
        },
        ..Settings::default()
    };
    settings.agree.members = members.to_vec();
    settings.listeners.peers = listeners[index];
    settings.listeners.operators = members[index].operators;
    settings
}

/// Command that adds a drain if the expected version is even, and ends it otherwise.
fn command(id: u64, expected: u64) -> Command {
    let drain = Drain::Vm("entry-1".to_owned());
    let change = if expected.is_multiple_of(2) {
        Change::PutDrain(drain)
    } else {
        Change::EndDrain(drain)
    };
    Command {
        id: format!("c-{id}"),
        operator: "bench".to_owned(),
        expected,
        change,
    }
}

/// Returns a client of the leader; polls the members until one reports its status.
async fn leader(members: &[MemberConfig], secret: &Secret) -> Client {
    loop {
        for member in members {
            let client = Client::new(member.operators, secret, CALL_TIMEOUT).unwrap();
            let params = serde_json::json!({});
            let status = client.call::<serde_json::Value>("status", &params);
            if status.await.is_ok() {
                return client;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn submit(client: &Client, command: Command, latency_us: &mut Histogram<u64>) {
    let start = Instant::now();
    // A command whose expected version is outdated is rejected; the rejection is committed too.
    let _ = client.call::<serde_json::Value>("submit", &command).await;
    let micros = u64::try_from(start.elapsed().as_micros()).unwrap();
    latency_us.record(micros).unwrap();
}

/// Log writes of all control VMs so far.
fn log_writes(controls: &[Control]) -> u64 {
    let count = |control: &Control| {
        let rows = control.context().metrics.read();
        let row = rows.iter().find(|row| row.name.contains("log_writes"));
        row.map_or(0, |row| row.value)
    };
    controls.iter().map(count).sum()
}

fn print_figures(label: &str, latency_us: &Histogram<u64>, log_writes: u64, elapsed: Duration) {
    let percentile = |quantile| latency_us.value_at_quantile(quantile);
    let commits = latency_us.len();
    println!(
        "{label}: {commits} commits, p50 {} us, p99 {} us, max {} us, {:.0} a second, {:.2} syncs a commit on three disks",
        percentile(0.5),
        percentile(0.99),
        latency_us.max(),
        f64::from(u32::try_from(commits).unwrap()) / elapsed.as_secs_f64(),
        f64::from(u32::try_from(log_writes).unwrap()) / f64::from(u32::try_from(commits).unwrap()),
    );
}

fn main() {
    let data_dir = TempDir::new().unwrap();
    let secret = Secret::new(SECRET);
    let bytes = Arc::new(AtomicU64::new(0));
    let listeners: Vec<SocketAddr> = (0..REPLICAS).map(|_| free_address()).collect();
    let member = |index: usize| MemberConfig {
        name: format!("control-{index}"),
        peers: counting_proxy(listeners[index], &bytes),
        operators: free_address(),
    };
    let members: Vec<MemberConfig> = (0..REPLICAS).map(member).collect();
    let start =
        |index| Control::start(&settings(index, &members, &listeners, &data_dir), &secret).unwrap();
    let controls: Vec<Control> = (0..REPLICAS).map(start).collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let client = runtime.block_on(leader(&members, &secret));

    let (before, begin) = (log_writes(&controls), Instant::now());
    let mut latency_us = Histogram::new(3).unwrap();
    for version in 0..COMMITS {
        runtime.block_on(submit(&client, command(version, version), &mut latency_us));
    }
    print_figures(
        "one at a time",
        &latency_us,
        log_writes(&controls) - before,
        begin.elapsed(),
    );

    let (before, begin) = (log_writes(&controls), Instant::now());
    let latency_us = runtime.block_on(submit_concurrently(&members, &secret));
    print_figures(
        "16 at a time",
        &latency_us,
        log_writes(&controls) - before,
        begin.elapsed(),
    );

    thread::sleep(Duration::from_secs(1));
    let (bytes_before, before) = (bytes.load(Ordering::Relaxed), log_writes(&controls));
    thread::sleep(IDLE_WINDOW);
    let rate = (bytes.load(Ordering::Relaxed) - bytes_before) / IDLE_WINDOW.as_secs();
    println!(
        "at rest: {rate} bytes a second both ways at the leader, {} at a follower, {} syncs",
        rate / (REPLICAS as u64 - 1),
        log_writes(&controls) - before,
    );
    fail_over(controls, &members, &runtime, &secret);
}

/// Stops the leader and prints the time until the next leader has responded to a command.
fn fail_over(
    mut controls: Vec<Control>,
    members: &[MemberConfig],
    runtime: &Runtime,
    secret: &Secret,
) {
    let client = runtime.block_on(leader(members, secret));
    let params = serde_json::json!({});
    let status = client.call::<serde_json::Value>("status", &params);
    let name = runtime.block_on(status).unwrap()["vm"].clone();
    let index = members
        .iter()
        .position(|member| name == member.name.as_str());
    let old_leader = controls.remove(index.unwrap());
    let shutdown = thread::spawn(move || old_leader.stop());
    let begin = Instant::now();
    shutdown.join().unwrap();
    let client = runtime.block_on(leader(members, secret));
    let mut latency_us = Histogram::new(3).unwrap();
    runtime.block_on(submit(&client, command(9_999_999, 0), &mut latency_us));
    println!(
        "a leader stops: {} ms until a command is answered",
        begin.elapsed().as_millis()
    );
    for control in controls {
        control.stop();
    }
}

/// Submits commands from concurrent clients and returns the latency of each in microseconds.
async fn submit_concurrently(members: &[MemberConfig], secret: &Secret) -> Histogram<u64> {
    let local_set = tokio::task::LocalSet::new();
    let mut total = Histogram::new(3).unwrap();
    let tasks: Vec<_> = {
        let mut tasks = Vec::new();
        for task in 0..CONCURRENCY {
            let client = leader(members, secret).await;
            tasks.push(local_set.spawn_local(async move {
                let mut latency_us = Histogram::<u64>::new(3).unwrap();
                for sequence in 0..COMMITS / 2 {
                    let id = (task + 1) * 1_000_000 + sequence;
                    submit(&client, command(id, 0), &mut latency_us).await;
                }
                latency_us
            }));
        }
        tasks
    };
    local_set
        .run_until(async {
            for task in tasks {
                total.add(task.await.unwrap()).unwrap();
            }
        })
        .await;
    total
}
