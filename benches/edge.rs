//! Compares the resources that slow connections use on an edge listener and on a rouille server,
//! and the latency of calls by `edge::outbound` and by ureq with its default resolver.

use {
    hdrhistogram::Histogram,
    siskinstep::{
        context::Context,
        edge::{self, Handler, Limits, Listener, Outgoing, outbound},
        keys::ZoneKey,
    },
    std::{
        fs,
        io::Write,
        net::{SocketAddr, TcpStream},
        rc::Rc,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    ureq::Agent,
};

const CONNECTIONS: usize = 500;
const CALLS_PER_CALLER: usize = 2_000;
const CALLERS: usize = 4;
const SETTLE_TIME: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of threads and resident memory in KB of this process.
fn usage() -> (u64, u64) {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let field = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    };
    (field("Threads:"), field("VmRSS:"))
}

/// Opens connections that send only `prefix` and prints the threads and memory that they add.
fn measure_connections(name: &str, address: SocketAddr, prefix: &str) {
    let before = usage();
    let streams: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(prefix.as_bytes()).unwrap();
            stream
        })
        .collect();
    thread::sleep(SETTLE_TIME);
    let (threads, resident_kb) = usage();
    println!(
        "{name}: {CONNECTIONS} connections, {} bytes sent each: {} more threads, {} KB more",
        prefix.len(),
        threads - before.0,
        resident_kb.saturating_sub(before.1)
    );
    drop(streams);
    thread::sleep(SETTLE_TIME);
}

/// Calls `address` from concurrent callers and prints the latency.
fn measure_calls(name: &str, address: SocketAddr, new_agent: fn() -> Agent) {
    let agent = new_agent();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let agent = agent.clone();
            thread::spawn(move || {
                let mut micros = Vec::new();
                for _ in 0..CALLS_PER_CALLER {
                    let start = Instant::now();
                    let mut response = agent.get(format!("http://{address}/")).call().unwrap();
                    response.body_mut().read_to_string().unwrap();
                    micros.push(u64::try_from(start.elapsed().as_micros()).unwrap());
                }
                micros
            })
        })
        .collect();
    let mut latency_us = Histogram::<u64>::new(3).unwrap();
    for caller in callers {
        for micros in caller.join().unwrap() {
            latency_us.record(micros).unwrap();
        }
    }
    let percentile = |quantile| latency_us.value_at_quantile(quantile);
    println!(
        "{name}: p50 {} us, p99 {} us",
        percentile(0.5),
        percentile(0.99)
    );
}

fn default_resolver() -> Agent {
    let config = Agent::config_builder().timeout_global(Some(CALL_TIMEOUT));
    config.http_status_as_error(false).build().into()
}

fn main() {
    let listener = Listener {
        name: "edge",
        address: "127.0.0.1:0".parse().unwrap(),
        limits: Limits::default(),
        secret: None,
    };
    let context = Context::new("edge", ZoneKey(0), Arc::default());
    let handler =
        || -> Handler { Rc::new(|_| Box::pin(async { Outgoing::new(200, "text/plain", "done") })) };
    let edge_listener = edge::spawn(listener, context, handler).unwrap();
    let rouille = rouille::Server::new("127.0.0.1:0", |_| rouille::Response::text("done")).unwrap();
    let address = rouille.server_addr();
    thread::spawn(move || rouille.run());
    for prefix in ["", "GET / HTTP/1.1\r\nhost: a\r\nx-half: "] {
        measure_connections("edge listener", edge_listener.address, prefix);
        measure_connections("rouille", address, prefix);
    }
    for _ in 0..2 {
        measure_calls(
            "ureq, default resolver",
            edge_listener.address,
            default_resolver,
        );
        measure_calls("ureq, edge::outbound", edge_listener.address, || {
            outbound::agent(CALL_TIMEOUT)
        });
    }
    edge_listener.join();
}
