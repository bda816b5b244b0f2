//! A control VM freezes while the operator takes back an evacuation. The operator has its answer from
//! another one, and evacuates the zone again. Then the frozen one wakes.

use {
    crate::harness::{
        BROKEN, Backend, Conduct, EVACUATE_MS, Fleet, HELD, Message, Record, Reply,
        STABLE_WINDOW_MS, World, call, order, sleep_ms,
    },
    std::{
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

const ZONE: &str = "tamar-a";
const WORK_MS: u64 = 20;
/// The site's longest freeze of a core machine is 7 s.
const FREEZE_MS: u64 = 3_000;
/// Time between the answer to the withdrawal and the second evacuation.
const PAUSE_MS: u64 = 1_000;
/// Length of the first evacuation, and of the second; the site's longest is 9 s.
const FIRST_MS: u64 = 6_000;
const SECOND_MS: u64 = 9_000;
/// Clients of each entry VM.
const CLIENTS: usize = 4;

struct Sound;

impl Conduct for Sound {
    fn reply(&self, _: &Backend, _: &Message) -> Reply {
        Reply::Run(WORK_MS)
    }
}

const CONFIG: &str = r#"{"version":"00000003","services":[{"name":"cellwatch","health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":19.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"hosts":[{"host":"cell.example","paths":[{"name":"r-cell","path-prefix":"/cell/","route-type":"idempotent","timeout-ms":2000,"target-latency-ms":300,"priority":2,"service":"cellwatch","max-attempts":2,"session-affinity":true,"allowed-regions":[]}]}]}"#;

pub fn run(record: &Record, trouble: bool) -> io::Result<i32> {
    let mut fleet = Fleet::new(
        record.clone(),
        &["derwent-a", "tamar-a", "macquarie-a"],
        &["derwent-a", "tamar-a"],
    )?;
    fleet.start()?;
    let controls = fleet.control_addresses();
    let world = World::new(record.clone(), controls.clone(), Box::new(Sound));
    for (at, zone) in ["derwent-a", ZONE, "macquarie-a"].iter().enumerate() {
        let id = format!("i-cell-{zone}");
        world.start(Backend::new(
            id,
            "cellwatch",
            zone,
            fleet.backend(at as u8),
            9,
        ))?;
    }
    let emptied = format!("i-cell-{ZONE}");
    expect(
        order(
            record,
            &controls,
            "/config/replace",
            Some("00000000"),
            CONFIG,
        )?
        .0,
    )?;
    fleet.wait_ready(0)?;
    fleet.wait_ready(1)?;
    sleep_ms(4_000);

    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|number| {
            let to = fleet.frontend(number % 2);
            let (stop, record) = (Arc::clone(&stop), record.clone());
            thread::spawn(move || client(number, to, &stop, &record))
        })
        .collect();
    sleep_ms(3_000);

    let (start, take_back) = (
        format!("/evacuations/{ZONE}/start"),
        format!("/evacuations/{ZONE}/stop"),
    );
    expect(order(record, &controls, &start, None, "")?.0)?;
    sleep_ms(FIRST_MS);
    // The operator picks among the nodes; for the withdrawal, the one that freezes is the first.
    let frozen = fleet.controls[2].name.clone();
    let others = [controls[2], controls[0], controls[1]];
    if trouble {
        fleet.signal(&frozen, "STOP")?;
    }
    let frozen_at = record.seconds();
    expect(order(record, &others, &take_back, None, "")?.0)?;
    sleep_ms(PAUSE_MS);
    let (status, again) = order(record, &controls, &start, None, "")?;
    expect(status)?;
    let thaw = frozen_at + FREEZE_MS as f64 / 1_000.0;
    sleep_ms(((thaw - record.seconds()).max(0.0) * 1_000.0) as u64);
    if trouble {
        fleet.signal(&frozen, "CONT")?;
    }
    // Later than the bound after the acknowledgement, and all machines are in touch: the last disruption was
    // longer ago than the stable window.
    let touch = record.seconds() + STABLE_WINDOW_MS as f64 / 1_000.0;
    let from = touch.max(again + EVACUATE_MS as f64 / 1_000.0);
    let until = again + SECOND_MS as f64 / 1_000.0;
    sleep_ms(((until - record.seconds()).max(0.0) * 1_000.0) as u64);
    if !fleet.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    stop.store(true, Ordering::Relaxed);
    let served: u32 = clients
        .into_iter()
        .map(|thread| thread.join().unwrap_or(0))
        .sum();
    let runs = world.runs.lock().unwrap().clone();
    let before = runs.iter().filter(|run| run.backend == emptied).count();
    let late = runs
        .iter()
        .filter(|run| run.backend == emptied && run.at > from && run.at < until)
        .count();
    let text = format!(
        "{served} requests served, {before} runs at {emptied} in all; {late} of them later than {from:.3} s and before {until:.3} s, with the evacuation of {again:.3} s acknowledged and not taken back"
    );
    record.line(&text);
    println!("{text}");
    Ok(if late > 0 { BROKEN } else { HELD })
}

fn expect(status: u16) -> io::Result<()> {
    if status == 200 {
        return Ok(());
    }
    Err(io::Error::other(format!("an order was answered {status}")))
}

/// Sends 20 requests a second to an entry VM; returns how many were served.
fn client(number: usize, to: SocketAddr, stop: &AtomicBool, record: &Record) -> u32 {
    let (mut served, mut sent) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let id = format!("{number:04x}{sent:012x}");
        let key = ((sent * 7 + number as u32 * 31) % 251).to_string();
        let headers = [
            ("Host", "cell.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Affinity-Key", key.as_str()),
            ("X-Deadline-Ms", "2000"),
        ];
        let answer = call(to, "GET /cell/7", &headers, b"", Duration::from_secs(2));
        match answer {
            Ok(answer) if answer.status() == 200 => served += 1,
            Ok(answer) => record.line(&format!("client gets {} for {id}", answer.status())),
            Err(error) => record.line(&format!("client gets no answer for {id}: {error}")),
        }
        sleep_ms(50);
    }
    served
}
