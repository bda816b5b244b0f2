//! Small fakes for experiments: upstreams with slots and service times, and an entry VM.

#![allow(dead_code)] // Each experiment uses a part of it.

use {
    siskinstep::{
        announce::AnnouncementBody,
        clock,
        context::Context,
        dev::sample::announce,
        edge::{self, Handler, Limits, Listener, ListenerHandle, Outgoing, Secret},
        entry::{self, Entry},
        keys::{ServiceKey, ZoneKey},
        settings::{
            topology::{Kind, Topology},
            vm::Vm,
        },
    },
    std::{
        cell::Cell,
        net::{SocketAddr, UdpSocket},
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::{sync::Semaphore, time},
};

const REGION_MS: u64 = 20;
const RETRY: Duration = Duration::from_millis(20);

/// How a fake upstream behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub name: String,
    pub service: &'static str,
    pub slots: u16,
    pub service_ms: u64,
    /// Extra milliseconds a request until this many have been served.
    pub cold: (u64, u64),
    /// Its zone: 2n and 2n + 1 make up region n. A caller's zone is the last part of the path.
    pub zone: usize,
    /// One-way milliseconds between two zones of a region.
    pub zone_ms: u64,
    /// Load that it reports, whatever is true.
    pub lies: Option<u32>,
}

/// A fake upstream that runs until it is dropped.
pub struct Fake {
    pub address: SocketAddr,
    pub served: Arc<AtomicU64>,
    /// The most requests that it held above its slots.
    pub excess: Arc<AtomicU64>,
    _running: ListenerHandle,
    alive: Arc<AtomicBool>,
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.alive.store(false, Ordering::SeqCst);
    }
}

impl Fake {
    /// Starts it, and announces it to its home, first to `entry`, until it is dropped.
    pub fn start(behaviour: Behaviour, entry: Option<SocketAddr>) -> Self {
        let served = Arc::new(AtomicU64::new(0));
        let excess = Arc::new(AtomicU64::new(0));
        let listener = Listener {
            name: "fake",
            address: "127.0.0.1:0".parse().unwrap(),
            limits: Limits::default(),
            secret: None,
        };
        let context = Context::new(&behaviour.name, ZoneKey(0), Arc::default());
        let (kept, count, peak) = (behaviour.clone(), Arc::clone(&served), Arc::clone(&excess));
        let running = edge::spawn(listener, context, move || handler(kept, count, peak)).unwrap();
        let alive = Arc::new(AtomicBool::new(true));
        let mut body = AnnouncementBody {
            name: behaviour.name,
            service: behaviour.service.to_owned(),
            address: running.address,
            slots: behaviour.slots,
            incarnation: clock::wall_millis(),
            token: None,
            inherited: Some(0),
            load: None,
            leaving: false,
        };
        if let Some(entry) = entry {
            let mut home = entry;
            while renew(&mut home, entry, &mut body).is_none() {}
            let alive = Arc::clone(&alive);
            thread::spawn(move || {
                while alive.load(Ordering::SeqCst) {
                    let wait = renew(&mut home, entry, &mut body);
                    thread::sleep(wait.unwrap_or(RETRY));
                }
            });
        }
        Self {
            address: running.address,
            served,
            excess,
            _running: running,
            alive,
        }
    }
}

/// Announces once; how long to wait, or `None` if the home gave no lease.
fn renew(
    home: &mut SocketAddr,
    entry: SocketAddr,
    body: &mut AnnouncementBody,
) -> Option<Duration> {
    let Ok(granted) = announce(*home, body) else {
        *home = entry;
        return None;
    };
    body.token = Some(granted.token);
    *home = granted.home.unwrap_or(*home);
    granted
        .granted
        .then(|| Duration::from_millis(granted.renew_ms))
}

fn handler(behaviour: Behaviour, served: Arc<AtomicU64>, excess: Arc<AtomicU64>) -> Handler {
    let slots = Rc::new(Semaphore::new(usize::from(behaviour.slots)));
    let waiting = Rc::new(Cell::new(0_u32));
    let behaviour = Rc::new(behaviour);
    Rc::new(move |incoming| {
        let (slots, waiting) = (Rc::clone(&slots), Rc::clone(&waiting));
        let (behaviour, served) = (Rc::clone(&behaviour), Arc::clone(&served));
        let excess = Arc::clone(&excess);
        Box::pin(async move {
            if incoming.path() == b"/load" {
                let load = behaviour.lies.unwrap_or(waiting.get());
                let body = format!("{{\"load\":{load}}}");
                return Outgoing::new(200, "application/json", body);
            }
            let away = away(&behaviour, &incoming.target);
            pause(away).await;
            waiting.set(waiting.get() + 1);
            let above = waiting.get().saturating_sub(behaviour.slots.into());
            excess.fetch_max(above.into(), Ordering::SeqCst);
            let permit = slots.acquire().await;
            let (extra, until) = behaviour.cold;
            let is_cold = served.fetch_add(1, Ordering::SeqCst) < until;
            let extra = if is_cold { extra } else { 0 };
            pause(varied(behaviour.service_ms) + extra).await;
            drop(permit);
            waiting.set(waiting.get() - 1);
            pause(away).await;
            Outgoing::new(200, "text/plain", "done")
        })
    })
}

/// One-way milliseconds from the zone that the path names.
fn away(behaviour: &Behaviour, target: &[u8]) -> u64 {
    let text = std::str::from_utf8(target).unwrap_or_default();
    let from = text
        .rsplit('/')
        .next()
        .and_then(|zone| zone.parse::<usize>().ok());
    match from {
        Some(zone) if zone / 2 != behaviour.zone / 2 => REGION_MS,
        Some(zone) if zone != behaviour.zone => behaviour.zone_ms,
        _ => 0,
    }
}

/// Between half and one and a half of `ms`.
fn varied(ms: u64) -> u64 {
    if ms < 10 {
        ms
    } else {
        rand::random_range(ms / 2..ms * 3 / 2)
    }
}

async fn pause(ms: u64) {
    if ms > 0 {
        time::sleep(Duration::from_millis(ms)).await;
    }
}

/// One region with one zone, and the services given, each with the kind `ask`.
pub fn topology(services: &[&str], deadline_ms: u64) -> Topology {
    let mut topology = Topology::default();
    for region in ["derwent", "tamar", "macquarie"] {
        let zones = ["a", "b"].map(|zone| format!("{region}-{zone}"));
        topology.add_region(region.to_owned(), zones.to_vec());
    }
    for service in services {
        let kind = Kind {
            name: "ask".to_owned(),
            service: ServiceKey(0),
            worth: 10,
            deadline_ms,
            at_most_once: false,
            repeatable: false,
        };
        topology.add_service((*service).to_owned(), vec![kind]);
    }
    topology
}

/// Free addresses for datagrams on loopback.
pub fn datagram_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    // All are held until each has its own.
    let sockets: Vec<UdpSocket> = sockets.collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

/// An entry VM in this process, the only one of its zone; it meets the others at `seeds`.
pub fn entry(topology: Topology, zone: u16, members: SocketAddr, seeds: Vec<SocketAddr>) -> Entry {
    let mut settings = entry::Settings {
        vm: Vm {
            name: format!("entry-{zone}"),
            zone: ZoneKey(zone),
            topology,
            ring: 4_096,
            ..Vm::default()
        },
        stop_ms: 2_000,
        linger_ms: 0,
        ..entry::Settings::default()
    };
    settings.listeners.members = members;
    settings.membership.seeds = seeds;
    Entry::start(settings, &Secret::new("experiment-secret-0123")).unwrap()
}
