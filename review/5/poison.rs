//! A request crashes each backend that begins to run it, and comes again.

use {
    crate::harness::{
        BROKEN, Backend, Conduct, Fleet, HELD, Message, Record, Reply, STABLE_WINDOW_MS, World,
        call, order, sleep_ms,
    },
    std::{
        collections::HashSet,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const WORK_MS: u64 = 300;
/// Time after which a crashed backend is back: `srv_crash` of the site has 3.2 to 5.1 s.
const DOWN_MS: u64 = 3_200;
/// The request comes again after each answer and this pause.
const PAUSE_MS: u64 = 2_000;
const COMES: u32 = 14;
/// The bound of the rule.
const MOST_RETRIES: usize = 3;

struct Crashing {
    trouble: bool,
}

impl Conduct for Crashing {
    fn reply(&self, _: &Backend, request: &Message) -> Reply {
        if self.trouble && request.path() == "/cell/crash" {
            return Reply::Crash(DOWN_MS);
        }
        Reply::Run(WORK_MS)
    }
}

const CONFIG: &str = r#"{"version":"00000003","services":[{"name":"cellwatch","health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":19.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"hosts":[{"host":"cell.example","paths":[{"name":"r-cell","path-prefix":"/cell/","route-type":"idempotent","timeout-ms":2000,"target-latency-ms":600,"priority":2,"service":"cellwatch","max-attempts":2,"session-affinity":true,"allowed-regions":[]},{"name":"r-run","path-prefix":"/run/","route-type":"non_idempotent","timeout-ms":2000,"target-latency-ms":600,"priority":1,"service":"cellwatch","max-attempts":2,"session-affinity":true,"allowed-regions":[]}]}]}"#;

pub fn run(record: &Record, trouble: bool) -> io::Result<i32> {
    let mut fleet = Fleet::new(
        record.clone(),
        &["derwent-a", "tamar-a", "macquarie-a"],
        &["derwent-a"],
    )?;
    fleet.start()?;
    let controls = fleet.control_addresses();
    let world = World::new(
        record.clone(),
        controls.clone(),
        Box::new(Crashing { trouble }),
    );
    let zones = [
        "derwent-a",
        "derwent-a",
        "derwent-a",
        "derwent-b",
        "derwent-b",
        "derwent-b",
    ];
    for (at, zone) in zones.iter().enumerate() {
        let id = format!("i-cell-{at}");
        world.start(Backend::new(
            id,
            "cellwatch",
            zone,
            fleet.backend(at as u8),
            9,
        ))?;
    }
    let (status, _) = order(
        record,
        &controls,
        "/config/replace",
        Some("00000000"),
        CONFIG,
    )?;
    if status != 200 {
        return Err(io::Error::other(format!(
            "the config was answered {status}"
        )));
    }
    fleet.wait_ready(0)?;
    sleep_ms(5_000);
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..4)
        .map(|number| {
            let (to, stop, record) = (fleet.frontend(0), Arc::clone(&stop), record.clone());
            thread::spawn(move || other_client(number, to, &stop, &record))
        })
        .collect();
    for number in 0..COMES {
        let id = format!("bad{number:013x}");
        let answer = send(fleet.frontend(0), "GET /cell/crash", &id, 7);
        record.line(&format!("client gets {} for {id}", status_of(&answer)));
        sleep_ms(PAUSE_MS);
    }
    stop.store(true, Ordering::Relaxed);
    let lost: Vec<(f64, String)> = others
        .into_iter()
        .flat_map(|row| row.join().unwrap())
        .collect();
    if !fleet.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    let runs = world.runs.lock().unwrap().clone();
    let crashes: Vec<_> = runs.iter().filter(|run| run.crashed).collect();
    let Some(third) = crashes.get(2).map(|run| run.at) else {
        record.line("no request crashed three backends");
        println!("no request crashed three backends");
        return Ok(HELD);
    };
    let from = third + STABLE_WINDOW_MS as f64 / 1_000.0;
    let late: Vec<_> = crashes.iter().filter(|run| run.at > from).collect();
    let retries: HashSet<&str> = late.iter().map(|run| run.id.as_str()).collect();
    let ran: HashSet<&str> = runs.iter().map(|run| run.id.as_str()).collect();
    let harmed = lost
        .iter()
        .filter(|row| row.0 > from && ran.contains(row.1.as_str()))
        .count();
    let text = format!(
        "the request crashed backends {} times, the third time at {third:.3} s; after {from:.3} s in {} retries, {} \
         times; {harmed} other requests that had begun to run were lost in these",
        crashes.len(),
        retries.len(),
        late.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(if retries.len() > MOST_RETRIES {
        BROKEN
    } else {
        HELD
    })
}

fn send(to: SocketAddr, head: &str, id: &str, key: u32) -> io::Result<Message> {
    let key = key.to_string();
    let headers = [
        ("Host", "cell.example"),
        ("X-Request-Id", id),
        ("X-Affinity-Key", key.as_str()),
        ("X-Deadline-Ms", "2000"),
    ];
    call(to, head, &headers, b"", Duration::from_millis(2_000))
}

fn status_of(answer: &io::Result<Message>) -> u16 {
    answer.as_ref().map_or(0, Message::status)
}

/// Sends requests that are not idempotent; returns the time and the id of those that were answered with a
/// failure that promises nothing, or not at all.
fn other_client(
    number: u32,
    to: SocketAddr,
    stop: &AtomicBool,
    record: &Record,
) -> Vec<(f64, String)> {
    let (mut lost, mut sent) = (Vec::new(), 0_u32);
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let id = format!("{number:04x}{sent:012x}");
        let answer = send(to, "POST /run/7", &id, sent * 7 % 64);
        let status = status_of(&answer);
        if matches!(status, 0 | 502 | 504) {
            record.line(&format!("client gets {status} for {id}"));
            lost.push((record.seconds(), id));
        }
    }
    lost
}
