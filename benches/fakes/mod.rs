//! Fake upstreams with slots and service times, and an entry VM in the process of the bench.

#![allow(dead_code)] // Each bench uses only some of the items.

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

const REGION_LATENCY_MS: u64 = 20;
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Configuration of a fake upstream.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub name: String,
    pub service: &'static str,
    pub slots: u16,
    pub service_ms: u64,
    /// Additional milliseconds per request while cold, and the number of requests until warm.
    pub cold: (u64, u64),
    /// Zone of the upstream: zones 2n and 2n + 1 form region n. The last segment of a request path
    /// is the zone of the caller.
    pub zone: usize,
    /// One-way network latency in milliseconds between two zones of a region.
    pub zone_ms: u64,
    /// Load that it reports instead of the actual one.
    pub forced_load: Option<u32>,
}

/// A fake upstream that runs until it is dropped.
pub struct Fake {
    pub address: SocketAddr,
    /// Requests started.
    pub served: Arc<AtomicU64>,
    /// Maximum number of concurrent requests beyond its slots.
    pub excess: Arc<AtomicU64>,
    _listener: ListenerHandle,
    alive: Arc<AtomicBool>,
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.alive.store(false, Ordering::SeqCst);
    }
}

impl Fake {
    /// Starts the upstream. With `entry`, announces it until it is dropped, first to `entry`, then
    /// to the home VM that the lease names; returns after the first lease is granted.
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
        let (handler_behaviour, handler_served, handler_excess) =
            (behaviour.clone(), Arc::clone(&served), Arc::clone(&excess));
        let handle = edge::spawn(listener, context, move || {
            handler(handler_behaviour, handler_served, handler_excess)
        })
        .unwrap();
        let alive = Arc::new(AtomicBool::new(true));
        let mut body = AnnouncementBody {
            name: behaviour.name,
            service: behaviour.service.to_owned(),
            address: handle.address,
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
                    thread::sleep(wait.unwrap_or(RETRY_DELAY));
                }
            });
        }
        Self {
            address: handle.address,
            served,
            excess,
            _listener: handle,
            alive,
        }
    }
}

/// Announces the upstream once; returns the delay until renewal, or `None` if no lease was granted.
///
/// After an error the next announcement goes to `entry` again.
fn renew(
    home: &mut SocketAddr,
    entry: SocketAddr,
    body: &mut AnnouncementBody,
) -> Option<Duration> {
    let Ok(lease) = announce(*home, body) else {
        *home = entry;
        return None;
    };
    body.token = Some(lease.token);
    *home = lease.home.unwrap_or(*home);
    lease.granted.then(|| Duration::from_millis(lease.renew_ms))
}

fn handler(behaviour: Behaviour, served: Arc<AtomicU64>, excess: Arc<AtomicU64>) -> Handler {
    let slots = Rc::new(Semaphore::new(usize::from(behaviour.slots)));
    let in_flight = Rc::new(Cell::new(0_u32));
    let behaviour = Rc::new(behaviour);
    Rc::new(move |incoming| {
        let (slots, in_flight) = (Rc::clone(&slots), Rc::clone(&in_flight));
        let (behaviour, served) = (Rc::clone(&behaviour), Arc::clone(&served));
        let excess = Arc::clone(&excess);
        Box::pin(async move {
            if incoming.path() == b"/load" {
                let load = behaviour.forced_load.unwrap_or(in_flight.get());
                let body = format!("{{\"load\":{load}}}");
                return Outgoing::new(200, "application/json", body);
            }
            let latency_ms = latency_ms(&behaviour, &incoming.target);
            sleep_ms(latency_ms).await;
            in_flight.set(in_flight.get() + 1);
            let beyond_slots = in_flight.get().saturating_sub(behaviour.slots.into());
            excess.fetch_max(beyond_slots.into(), Ordering::SeqCst);
            let permit = slots.acquire().await;
            let (extra, cold_requests) = behaviour.cold;
            let is_cold = served.fetch_add(1, Ordering::SeqCst) < cold_requests;
            let extra = if is_cold { extra } else { 0 };
            sleep_ms(jittered(behaviour.service_ms) + extra).await;
            drop(permit);
            in_flight.set(in_flight.get() - 1);
            sleep_ms(latency_ms).await;
            Outgoing::new(200, "text/plain", "done")
        })
    })
}

/// One-way network latency in milliseconds from the zone that the path names.
fn latency_ms(behaviour: &Behaviour, target: &[u8]) -> u64 {
    let path = std::str::from_utf8(target).unwrap_or_default();
    let from = path
        .rsplit('/')
        .next()
        .and_then(|zone| zone.parse::<usize>().ok());
    match from {
        Some(zone) if zone / 2 != behaviour.zone / 2 => REGION_LATENCY_MS,
        Some(zone) if zone != behaviour.zone => behaviour.zone_ms,
        _ => 0,
    }
}

/// Random duration from 50 % to 150 % of `ms`; less than 10 ms is returned unchanged.
fn jittered(ms: u64) -> u64 {
    if ms < 10 {
        ms
    } else {
        rand::random_range(ms / 2..ms * 3 / 2)
    }
}

async fn sleep_ms(ms: u64) {
    if ms > 0 {
        time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Three regions with two zones each, and `services`, each with one request kind, `ask`.
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

/// Unused UDP addresses on loopback.
pub fn datagram_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    // All sockets stay open until each has an address, so that no two addresses are equal.
    let sockets: Vec<UdpSocket> = sockets.collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

/// Starts the only entry VM of `zone` in this process; it joins the other VMs through `seeds`.
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
