//! Commit latency, writes a commit and bytes at rest of three control VMs on loopback.
//!
//! `cargo bench --bench agree` prints the figures; nothing is judged.

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
const TOGETHER: u64 = 16;
const REST: Duration = Duration::from_secs(10);
const CALL_LIMIT: Duration = Duration::from_secs(5);
const SECRET: &str = "bench-secret-0123456789";

fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Passes connections on to `to` and counts every byte of both directions.
fn counting_proxy(to: SocketAddr, bytes: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = Arc::clone(bytes);
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            let _ = near.set_nodelay(true).and_then(|()| far.set_nodelay(true));
            for (from, to) in [(&near, &far), (&far, &near)] {
                let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                let bytes = Arc::clone(&bytes);
                thread::spawn(move || pass(from, to, &bytes));
            }
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicU64) -> io::Result<()> {
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
    at: usize,
    members: &[MemberConfig],
    listeners: &[SocketAddr],
    folder: &TempDir,
) -> Settings {
    let mut settings = Settings {
        vm: Vm {
            name: members[at].name.clone(),
            topology: topology(),
            ring: 4_096,
            data_dir: folder.path().join(at.to_string()).display().to_string(),
            ..Vm::default()
        },
        ..Settings::default()
    };
    settings.agree.members = members.to_vec();
    settings.listeners.peers = listeners[at];
    settings.listeners.operators = members[at].operators;
    settings
}

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

/// The client of the leader.
async fn leader(members: &[MemberConfig], secret: &Secret) -> Client {
    loop {
        for row in members {
            let client = Client::new(row.operators, secret, CALL_LIMIT).unwrap();
            let nothing = serde_json::json!({});
            let status = client.call::<serde_json::Value>("status", &nothing);
            if status.await.is_ok() {
                return client;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn submit(client: &Client, command: Command, times: &mut Histogram<u64>) {
    let start = Instant::now();
    // A command that lost a race is refused, which is committed as well.
    let _ = client.call::<serde_json::Value>("submit", &command).await;
    let micros = u64::try_from(start.elapsed().as_micros()).unwrap();
    times.record(micros).unwrap();
}

fn writes(controls: &[Control]) -> u64 {
    let count = |control: &Control| {
        let rows = control.context().metrics.read();
        let row = rows.iter().find(|row| row.name.contains("log_writes"));
        row.map_or(0, |row| row.value)
    };
    controls.iter().map(count).sum()
}

fn print(what: &str, times: &Histogram<u64>, writes: u64, elapsed: Duration) {
    let at = |quantile| times.value_at_quantile(quantile);
    let commits = times.len();
    println!(
        "{what}: {commits} commits, p50 {} us, p99 {} us, max {} us, {:.0} a second, {:.2} syncs a commit on three disks",
        at(0.5),
        at(0.99),
        times.max(),
        f64::from(u32::try_from(commits).unwrap()) / elapsed.as_secs_f64(),
        f64::from(u32::try_from(writes).unwrap()) / f64::from(u32::try_from(commits).unwrap()),
    );
}

fn main() {
    let folder = TempDir::new().unwrap();
    let secret = Secret::new(SECRET);
    let bytes = Arc::new(AtomicU64::new(0));
    let listeners: Vec<SocketAddr> = (0..REPLICAS).map(|_| free()).collect();
    let member = |at: usize| MemberConfig {
        name: format!("control-{at}"),
        peers: counting_proxy(listeners[at], &bytes),
        operators: free(),
    };
    let members: Vec<MemberConfig> = (0..REPLICAS).map(member).collect();
    let start = |at| Control::start(&settings(at, &members, &listeners, &folder), &secret).unwrap();
    let controls: Vec<Control> = (0..REPLICAS).map(start).collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let client = runtime.block_on(leader(&members, &secret));

    let (before, begin) = (writes(&controls), Instant::now());
    let mut times = Histogram::new(3).unwrap();
    for turn in 0..COMMITS {
        runtime.block_on(submit(&client, command(turn, turn), &mut times));
    }
    print(
        "one at a time",
        &times,
        writes(&controls) - before,
        begin.elapsed(),
    );

    let (before, begin) = (writes(&controls), Instant::now());
    let times = runtime.block_on(together(&members, &secret));
    print(
        "16 at a time",
        &times,
        writes(&controls) - before,
        begin.elapsed(),
    );

    thread::sleep(Duration::from_secs(1));
    let (from, before) = (bytes.load(Ordering::Relaxed), writes(&controls));
    thread::sleep(REST);
    let rest = (bytes.load(Ordering::Relaxed) - from) / REST.as_secs();
    println!(
        "at rest: {rest} bytes a second both ways at the leader, {} at a follower, {} syncs",
        rest / (REPLICAS as u64 - 1),
        writes(&controls) - before,
    );
    fail_over(controls, &members, &runtime, &secret);
}

/// Time from the end of the leader to the next accepted command.
fn fail_over(
    mut controls: Vec<Control>,
    members: &[MemberConfig],
    runtime: &Runtime,
    secret: &Secret,
) {
    let client = runtime.block_on(leader(members, secret));
    let nothing = serde_json::json!({});
    let status = client.call::<serde_json::Value>("status", &nothing);
    let name = runtime.block_on(status).unwrap()["vm"].clone();
    let at = members.iter().position(|row| name == row.name.as_str());
    let leaving = controls.remove(at.unwrap());
    let stopping = thread::spawn(move || leaving.stop());
    let begin = Instant::now();
    stopping.join().unwrap();
    let client = runtime.block_on(leader(members, secret));
    let mut times = Histogram::new(3).unwrap();
    runtime.block_on(submit(&client, command(9_999_999, 0), &mut times));
    println!(
        "a leader stops: {} ms until a command is answered",
        begin.elapsed().as_millis()
    );
    for control in controls {
        control.stop();
    }
}

async fn together(members: &[MemberConfig], secret: &Secret) -> Histogram<u64> {
    let local = tokio::task::LocalSet::new();
    let mut all = Histogram::new(3).unwrap();
    let lanes: Vec<_> = {
        let mut lanes = Vec::new();
        for lane in 0..TOGETHER {
            let client = leader(members, secret).await;
            lanes.push(local.spawn_local(async move {
                let mut times = Histogram::<u64>::new(3).unwrap();
                for turn in 0..COMMITS / 2 {
                    let id = (lane + 1) * 1_000_000 + turn;
                    submit(&client, command(id, 0), &mut times).await;
                }
                times
            }));
        }
        lanes
    };
    local
        .run_until(async {
            for lane in lanes {
                all.add(lane.await.unwrap()).unwrap();
            }
        })
        .await;
    all
}
