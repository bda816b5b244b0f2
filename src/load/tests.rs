//! Tests of the schedule, the selection of targets and the report.

use {
    super::{
        choose::{Targets, Upstream, Vm, choose},
        pace::Schedule,
        plan::{Kind, Plan, Steering},
        report::{KindReport, Report, Tally},
    },
    std::{net::SocketAddr, time::Duration},
};

fn kind(path: &str, rate: u32, worth: u32) -> Kind {
    Kind {
        path: path.to_owned(),
        rate,
        worth,
        deadline_ms: 100,
        once: false,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn schedule_matches_configured_rates() {
    let kinds = [kind("/a/b", 1_000, 1), kind("/a/c", 100, 1)];
    let mut schedule = Schedule::new(&kinds, 2, 7);
    let mut counts = [0_u32; 2];
    while let Some((index, due)) = schedule.step() {
        if due >= Duration::from_secs(20) {
            break;
        }
        counts[index] += 1;
    }
    // Expected: half of the rates, as for one of two threads, over 20 seconds.
    assert!((9_600..10_400).contains(&counts[0]), "{counts:?}");
    assert!((850..1_150).contains(&counts[1]), "{counts:?}");
}

#[test]
fn each_steering_selects_its_targets() {
    let vm = |port, zone: &str, weight| Vm {
        availability_zone: zone.to_owned(),
        address: address(port),
        weight,
    };
    let upstream = |port, load| Upstream {
        address: address(port),
        load,
    };
    let mut targets = Targets {
        steering: Steering::Siskinstep,
        vms: vec![vm(1, "a", 1), vm(2, "a", 3), vm(3, "b", 9)],
        upstreams: vec![upstream(4, 5), upstream(5, 2), upstream(6, 2)],
        selections: 0,
    };
    let mut ports = |steering| {
        targets.steering = steering;
        [0, 1, 3, 7].map(|draw| choose(&mut targets, draw).unwrap().port())
    };
    assert_eq!(ports(Steering::Siskinstep), [1, 2, 2, 2]);
    assert_eq!(ports(Steering::RoundRobin), [5, 6, 4, 5]);
    assert_eq!(ports(Steering::LeastLoad), [6, 5, 5, 6]);
}

#[test]
fn summary_is_weighted_by_worth() {
    let kinds = vec![kind("/s/light", 1, 10), kind("/s/heavy", 1, 90)];
    let mut tallies = [Tally::default(), Tally::default()];
    tallies[0].record_served(Duration::from_micros(100));
    tallies[1].record_served(Duration::from_millis(1));
    tallies[1].record_refused("no_slot (ran: no)".to_owned(), 1);
    let steering = Steering::Siskinstep;
    let rows = kinds.iter().zip(&tallies);
    let rows = rows
        .map(|(kind, tally)| KindReport::new(steering, kind, tally))
        .collect();
    let plan = Plan {
        entries: vec![address(1)],
        upstreams: vec![],
        steerings: vec![steering],
        seconds: 1,
        threads: 1,
        connections: 1,
        poll_ms: 1,
        seed: 0,
        kinds,
    };
    let report = Report::new(&plan, rows);
    assert_eq!(report.weighted[0].p50, 910);
    assert_eq!(report.weighted[0].served_permille, 100 * 1_000 / 190);
    assert!(report.text().contains("refused no_slot (ran: no): 1"));
}
