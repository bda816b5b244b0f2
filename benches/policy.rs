//! Steering by siskinstep against round robin and least reported load, over the same upstreams in
//! the same run: calm, a surge in one zone, and lying load reports.
//!
//! One entry VM a zone, in three regions; they know each other.

mod fakes;

use {
    fakes::{Behaviour, Fake, datagram_addresses, entry, topology},
    siskinstep::{
        entry::Entry,
        load::{self, Kind, Plan, Report, Steering},
    },
    std::{net::SocketAddr, sync::atomic::Ordering, thread, time::Duration},
};

const ZONES: usize = 6;
const SECONDS: u64 = 5;
const WARM_UP: Duration = Duration::from_secs(3);
const STEERINGS: [Steering; 3] = [
    Steering::Siskinstep,
    Steering::RoundRobin,
    Steering::LeastLoad,
];

/// A service: name, upstreams, slots of each, milliseconds of service, worth.
type Service = (&'static str, usize, u16, u64, u32);

/// Name, one-way milliseconds between zones, and services.
type Deployment = (&'static str, u64, [Service; 3]);

const DEPLOYMENTS: [Deployment; 2] = [
    (
        "makepeace",
        4,
        [
            ("cellwatch", 16, 9, 100, 10),
            ("swapdesk", 12, 7, 150, 40),
            ("runboard", 12, 3, 200, 100),
        ],
    ),
    (
        "ramgoolam",
        3,
        [
            ("lookup-svc", 16, 9, 100, 10),
            ("hold-svc", 12, 7, 150, 40),
            ("invoice-svc", 12, 3, 200, 60),
        ],
    ),
];

struct World {
    entries: Vec<Entry>,
    /// Upstreams by service.
    fakes: Vec<Vec<Fake>>,
}

impl World {
    fn start(deployment: &Deployment, lying: bool) -> Self {
        let names = deployment.2.map(|service| service.0);
        let members = datagram_addresses(ZONES);
        let start = |zone: u16| {
            let own = members[usize::from(zone)];
            entry(topology(&names, 2_000), zone, own, members.clone())
        };
        let zones = u16::try_from(ZONES).unwrap();
        let entries: Vec<Entry> = (0..zones).map(start).collect();
        let start = |service: &Service, at: usize| {
            let (name, _, slots, service_ms, _) = *service;
            let zone = at % ZONES;
            let behaviour = Behaviour {
                name: format!("{name}-{at}"),
                service: name,
                slots,
                service_ms,
                cold: (0, 0),
                zone,
                zone_ms: deployment.1,
                lies: (lying && at < ZONES).then_some(0),
            };
            Fake::start(behaviour, Some(entries[zone].upstreams()))
        };
        let all = |service: &Service| (0..service.1).map(|at| start(service, at)).collect();
        let fakes = deployment.2.iter().map(all).collect();
        Self { entries, fakes }
    }

    /// Runs one service under one steering from all zones at once.
    fn run(&self, service: &Service, at: usize, steering: Steering, surge: u32) -> Vec<Report> {
        let (name, count, slots, service_ms, worth) = *service;
        let upstreams: Vec<SocketAddr> = self.fakes[at].iter().map(|fake| fake.address).collect();
        let each_second = count as u64 * u64::from(slots) * 1_000 / service_ms;
        // Half of what the upstreams can serve, in equal parts.
        let part = u32::try_from(each_second / 2 / ZONES as u64).unwrap();
        thread::scope(|scope| {
            let zones: Vec<_> = (0..ZONES)
                .map(|zone| {
                    let plan = Plan {
                        entries: vec![self.entries[zone].callers()],
                        upstreams: upstreams.clone(),
                        steerings: vec![steering],
                        seconds: SECONDS,
                        threads: 1,
                        connections: 512,
                        poll_ms: 500,
                        seed: zone as u64,
                        kinds: vec![Kind {
                            path: format!("/{name}/ask/{zone}"),
                            rate: if zone == 0 { part * surge } else { part },
                            worth,
                            deadline_ms: 2_000,
                            once: false,
                        }],
                    };
                    scope.spawn(move || load::run(&plan).unwrap())
                })
                .collect();
            zones.into_iter().map(|zone| zone.join().unwrap()).collect()
        })
    }
}

fn show(name: &str, service: &Service, steering: Steering, reports: &[Report], excess: u64) {
    let rows = || reports.iter().flat_map(|report| &report.rows);
    let served: u64 = rows().map(|row| row.served).sum();
    let refused = rows()
        .flat_map(|row| &row.refused)
        .map(|refused| refused.count);
    let mean = |value: fn(&load::report::KindReport) -> u64| {
        rows().map(|row| value(row) * row.served).sum::<u64>() / served.max(1)
    };
    println!(
        "{name} {} {}: served {served}, refused {}, p50 {} ms, p99 {} ms, p99 of the worst zone \
         {} ms, most above slots {excess}",
        service.0,
        steering.name(),
        refused.sum::<u64>(),
        mean(|row| row.p50) / 1_000,
        mean(|row| row.p99) / 1_000,
        rows().map(|row| row.p99).max().unwrap_or(0) / 1_000,
    );
}

/// Whether the environment variable `POLICY_ONLY`, such as `makepeace surge`, asks for it.
fn is_asked(name: &str) -> bool {
    std::env::var("POLICY_ONLY").map_or(true, |only| only == name)
}

fn main() {
    for deployment in &DEPLOYMENTS {
        for (scenario, surge, lying) in [("calm", 1, false), ("surge", 3, false), ("lies", 1, true)]
        {
            if !is_asked(&format!("{} {scenario}", deployment.0)) {
                continue;
            }
            let world = World::start(deployment, lying);
            // Until new upstreams have opened all slots, and the VMs know each other.
            thread::sleep(WARM_UP);
            for (at, service) in deployment.2.iter().enumerate() {
                for steering in STEERINGS {
                    for fake in &world.fakes[at] {
                        fake.excess.store(0, Ordering::SeqCst);
                    }
                    let reports = world.run(service, at, steering, surge);
                    let excess = world.fakes[at]
                        .iter()
                        .map(|fake| fake.excess.load(Ordering::SeqCst));
                    let name = format!("{} {scenario}", deployment.0);
                    show(
                        &name,
                        service,
                        steering,
                        &reports,
                        excess.max().unwrap_or(0),
                    );
                }
            }
            drop(world.fakes);
            for entry in world.entries {
                entry.stop();
            }
        }
    }
}
