//! Compares steering by siskinstep with round robin and least reported load, over the same
//! upstreams in the same run: normal load, a surge in one zone, and false load reports.
//!
//! Three regions with two zones each, and one entry VM per zone; the entry VMs are members of one
//! fleet.

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
const RUN_SECONDS: u64 = 5;
const WARM_UP: Duration = Duration::from_secs(3);
const STEERINGS: [Steering; 3] = [
    Steering::Siskinstep,
    Steering::RoundRobin,
    Steering::LeastLoad,
];

/// Name, upstreams, slots of each upstream, service time in milliseconds, and worth.
type Service = (&'static str, usize, u16, u64, u32);

/// Name, one-way network latency in milliseconds between zones of a region, and services.
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

struct Testbed {
    entries: Vec<Entry>,
    /// Upstreams by index of the service.
    fakes: Vec<Vec<Fake>>,
}

impl Testbed {
    /// Starts the VMs and upstreams; with `is_misreporting`, one upstream of each service in each
    /// zone reports a load of 0.
    fn start(deployment: &Deployment, is_misreporting: bool) -> Self {
        let names = deployment.2.map(|service| service.0);
        let members = datagram_addresses(ZONES);
        let start = |zone: u16| {
            let local = members[usize::from(zone)];
            entry(topology(&names, 2_000), zone, local, members.clone())
        };
        let zones = u16::try_from(ZONES).unwrap();
        let entries: Vec<Entry> = (0..zones).map(start).collect();
        let start = |service: &Service, index: usize| {
            let (name, _, slots, service_ms, _) = *service;
            let zone = index % ZONES;
            let behaviour = Behaviour {
                name: format!("{name}-{index}"),
                service: name,
                slots,
                service_ms,
                cold: (0, 0),
                zone,
                zone_ms: deployment.1,
                forced_load: (is_misreporting && index < ZONES).then_some(0),
            };
            Fake::start(behaviour, Some(entries[zone].upstreams()))
        };
        let start_all =
            |service: &Service| (0..service.1).map(|index| start(service, index)).collect();
        let fakes = deployment.2.iter().map(start_all).collect();
        Self { entries, fakes }
    }

    /// Runs the load of one service under one steering from all zones at the same time.
    ///
    /// Zone 0 has `surge` times the rate of the others.
    fn run(&self, service: &Service, index: usize, steering: Steering, surge: u32) -> Vec<Report> {
        let (name, count, slots, service_ms, worth) = *service;
        let upstreams: Vec<SocketAddr> =
            self.fakes[index].iter().map(|fake| fake.address).collect();
        let capacity = count as u64 * u64::from(slots) * 1_000 / service_ms;
        // Half of the capacity in requests per second, divided equally between the zones.
        let zone_rate = u32::try_from(capacity / 2 / ZONES as u64).unwrap();
        thread::scope(|scope| {
            let zones: Vec<_> = (0..ZONES)
                .map(|zone| {
                    let plan = Plan {
                        entries: vec![self.entries[zone].callers()],
                        upstreams: upstreams.clone(),
                        steerings: vec![steering],
                        seconds: RUN_SECONDS,
                        threads: 1,
                        connections: 512,
                        poll_ms: 500,
                        seed: zone as u64,
                        kinds: vec![Kind {
                            path: format!("/{name}/ask/{zone}"),
                            rate: if zone == 0 {
                                zone_rate * surge
                            } else {
                                zone_rate
                            },
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

fn print_row(name: &str, service: &Service, steering: Steering, reports: &[Report], excess: u64) {
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

/// Whether `POLICY_ONLY`, such as `makepeace surge`, is unset or names this scenario.
fn is_selected(name: &str) -> bool {
    std::env::var("POLICY_ONLY").map_or(true, |only| only == name)
}

fn main() {
    for deployment in &DEPLOYMENTS {
        for (scenario, surge, is_misreporting) in
            [("calm", 1, false), ("surge", 3, false), ("lies", 1, true)]
        {
            if !is_selected(&format!("{} {scenario}", deployment.0)) {
                continue;
            }
            let testbed = Testbed::start(deployment, is_misreporting);
            // New upstreams reach all their slots, and the VMs discover each other.
            thread::sleep(WARM_UP);
            for (index, service) in deployment.2.iter().enumerate() {
                for steering in STEERINGS {
                    for fake in &testbed.fakes[index] {
                        fake.excess.store(0, Ordering::SeqCst);
                    }
                    let reports = testbed.run(service, index, steering, surge);
                    let excess = testbed.fakes[index]
                        .iter()
                        .map(|fake| fake.excess.load(Ordering::SeqCst));
                    let name = format!("{} {scenario}", deployment.0);
                    print_row(
                        &name,
                        service,
                        steering,
                        &reports,
                        excess.max().unwrap_or(0),
                    );
                }
            }
            drop(testbed.fakes);
            for entry in testbed.entries {
                entry.stop();
            }
        }
    }
}
