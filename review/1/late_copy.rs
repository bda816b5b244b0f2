//! A backend rejects requests though it has free slots, and some of its answers are followed by a second
//! copy that arrives late, at the point where the next response is expected.

use {
    crate::harness::{
        BROKEN, Backend, Conduct, Fleet, HELD, Message, Record, Reply, World, call, order, sleep_ms,
    },
    std::{
        collections::{HashMap, HashSet},
        io,
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

const WORK_MS: u64 = 60;
const REQUESTS: u32 = 1_100;
/// The disruption comes for 5 s, again and again: the site's `garble` with `extra late` lasts 5 s, its
/// `srv_grey` 6.5 to 8.5 s.
const LENGTH_S: f64 = 5.0;
const EACH_S: f64 = 10.0;
/// Of the requests that reach the near backend, every second one is rejected the first time: the site's
/// largest share of `srv_grey` is 0.55.
const REJECTED_EACH: u64 = 2;
/// One answer in each 34 of the near backend has a late second copy: the site's share of `garble` with
/// `extra late` is 0.03.
const COPIED_EACH: u64 = 34;

/// Which answer of a block is the one with a copy: spread evenly, and the same in each run.
fn copied(block: u64) -> u64 {
    ((block + 1).wrapping_mul(6_364_136_223_846_793_005) >> 33) % COPIED_EACH
}

struct Faulty {
    trouble: bool,
    record: Record,
    near: String,
    rejected: Mutex<HashSet<String>>,
    asked: AtomicU64,
    answers: AtomicU64,
}

impl Faulty {
    fn is_faulty(&self, backend: &str) -> bool {
        let is_on = self.record.seconds() % EACH_S < LENGTH_S;
        self.trouble && is_on && backend == self.near
    }
}

impl Conduct for Faulty {
    fn reply(&self, backend: &Backend, request: &Message) -> Reply {
        if self.is_faulty(&backend.id) {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if !self.rejected.lock().unwrap().contains(&id) {
                let number = self.asked.fetch_add(1, Ordering::Relaxed);
                if number % REJECTED_EACH == 0 {
                    self.rejected.lock().unwrap().insert(id);
                    return Reply::Shed;
                }
            }
        }
        Reply::Run(WORK_MS)
    }

    fn repeats_late(&self, backend: &str, _: u16) -> bool {
        if !self.is_faulty(backend) {
            return false;
        }
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        number % COPIED_EACH == copied(number / COPIED_EACH)
    }
}

const CONFIG: &str = r#"{"version":"00000003","services":[{"name":"swapdesk","health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":19.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"hosts":[{"host":"swap.example","paths":[{"name":"r-swap","path-prefix":"/swap/","route-type":"non_idempotent","timeout-ms":2500,"target-latency-ms":400,"priority":1,"service":"swapdesk","max-attempts":2,"session-affinity":true,"allowed-regions":[]}]}]}"#;

pub fn run(record: &Record, trouble: bool) -> io::Result<i32> {
    let mut fleet = Fleet::new(
        record.clone(),
        &["derwent-a", "tamar-a", "macquarie-a"],
        &["tamar-a"],
    )?;
    fleet.start()?;
    let controls = fleet.control_addresses();
    let near = "i-swap-1".to_owned();
    let conduct = Faulty {
        trouble,
        record: record.clone(),
        near: near.clone(),
        rejected: Mutex::default(),
        asked: AtomicU64::new(0),
        answers: AtomicU64::new(0),
    };
    let world = World::new(record.clone(), controls.clone(), Box::new(conduct));
    for (at, zone) in ["tamar-a", "tamar-b", "tamar-b"].iter().enumerate() {
        let id = format!("i-swap-{}", at + 1);
        world.start(Backend::new(
            id,
            "swapdesk",
            zone,
            fleet.backend(at as u8),
            7,
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
    let mut answers: HashMap<String, u16> = HashMap::new();
    for number in 1..=REQUESTS {
        let id = format!("5a{number:014x}");
        let key = (number % 8).to_string();
        let headers = [
            ("Host", "swap.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Affinity-Key", key.as_str()),
            ("X-Deadline-Ms", "2500"),
        ];
        let body = format!("booking {number}");
        let answer = call(
            fleet.frontend(0),
            "POST /swap/book",
            &headers,
            body.as_bytes(),
            Duration::from_millis(2_500),
        );
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client gets {status} for {id}"));
        answers.insert(id, status);
    }
    sleep_ms(1_500);
    if !fleet.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for run in world.runs.lock().unwrap().iter() {
        runs.entry(run.id.clone())
            .or_default()
            .push(run.backend.clone());
    }
    let (mut twice, mut refused) = (0, 0);
    let mut ids: Vec<_> = answers.into_iter().collect();
    ids.sort();
    for (id, status) in ids {
        let places = runs.get(&id).cloned().unwrap_or_default();
        if places.len() > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {id} ran at {}, answered {status}",
                places.join(" and ")
            ));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !places.is_empty() {
            refused += 1;
            record.line(&format!(
                "REFUSED: {id} was answered {status} and ran at {}",
                places.join(" and ")
            ));
        }
    }
    let text = format!(
        "{REQUESTS} requests that are not idempotent; {twice} ran more than once, {refused} were answered as not \
         run and ran"
    );
    record.line(&text);
    println!("{text}");
    Ok(if twice + refused > 0 { BROKEN } else { HELD })
}
