//! What slow callers hold on the edge's listener and on a rouille server, and what ureq's own
//! resolver costs.

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
const CALLS: usize = 2_000;
const CALLERS: usize = 4;
const SETTLE: Duration = Duration::from_secs(1);
const LIMIT: Duration = Duration::from_secs(5);

/// Threads and resident kilobytes of this process.
fn usage() -> (u64, u64) {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let field = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    };
    (field("Threads:"), field("VmRSS:"))
}

fn hold(name: &str, address: SocketAddr, sent: &str) {
    let before = usage();
    let open: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(sent.as_bytes()).unwrap();
            stream
        })
        .collect();
    thread::sleep(SETTLE);
    let (threads, kilobytes) = usage();
    println!(
        "{name}: {CONNECTIONS} connections, {} bytes sent each: {} more threads, {} KB more",
        sent.len(),
        threads - before.0,
        kilobytes.saturating_sub(before.1)
    );
    drop(open);
    thread::sleep(SETTLE);
}

fn calls(name: &str, address: SocketAddr, make: fn() -> Agent) {
    let agent = make();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let agent = agent.clone();
            thread::spawn(move || {
                let mut micros = Vec::new();
                for _ in 0..CALLS {
                    let start = Instant::now();
                    let mut answer = agent.get(format!("http://{address}/")).call().unwrap();
                    answer.body_mut().read_to_string().unwrap();
                    micros.push(u64::try_from(start.elapsed().as_micros()).unwrap());
                }
                micros
            })
        })
        .collect();
    let mut latency = Histogram::<u64>::new(3).unwrap();
    for caller in callers {
        for micros in caller.join().unwrap() {
            latency.record(micros).unwrap();
        }
    }
    let at = |quantile| latency.value_at_quantile(quantile);
    println!("{name}: p50 {} us, p99 {} us", at(0.5), at(0.99));
}

fn default_resolver() -> Agent {
    let config = Agent::config_builder().timeout_global(Some(LIMIT));
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
    let hyper = edge::spawn(listener, context, handler).unwrap();
    let rouille = rouille::Server::new("127.0.0.1:0", |_| rouille::Response::text("done")).unwrap();
    let address = rouille.server_addr();
    thread::spawn(move || rouille.run());
    for sent in ["", "GET / HTTP/1.1\r\nhost: a\r\nx-half: "] {
        hold("edge listener", hyper.address, sent);
        hold("rouille", address, sent);
    }
    for _ in 0..2 {
        calls("ureq, default resolver", hyper.address, default_resolver);
        calls("ureq, edge::outbound", hyper.address, || {
            outbound::agent(LIMIT)
        });
    }
    hyper.join();
}
