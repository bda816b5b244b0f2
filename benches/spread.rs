//! Time from accepted to in force, and what membership and spread cost a VM. Not part of CI.
//!
//! Every VM is the membership and the spread duty with a peer listener, on threads of one process.
//! Bytes are those of the loopback device: run it in a network namespace of its own.

#[path = "spread/node.rs"]
mod node;
#[path = "spread/usage.rs"]
mod usage;

use {
    hdrhistogram::Histogram,
    node::{Applied, Fleet, PEERS},
    std::{
        sync::mpsc::Receiver,
        time::{Duration, Instant},
    },
    usage::Usage,
};

const SETTLE: Duration = Duration::from_secs(12);
const WINDOW: Duration = Duration::from_secs(10);

fn main() {
    println!("zones, VMs, changes, in force after ms: p50, p99, max");
    for (zones, each) in [(3, 4), (6, 5)] {
        in_force(zones, each);
    }
    println!(
        "zones, VMs a zone, load, a VM and second: bytes sent, bytes sent and received, \
         CPU permille of a core (membership, spread, peers), KB resident a VM"
    );
    for (zones, each) in [(2, 4), (2, 8), (2, 16), (4, 4), (8, 4)] {
        cost(zones, each);
    }
}

/// Waits until every VM has `version`, and notes when each came to it.
fn await_all(applied: &Receiver<Applied>, count: usize, version: u64) -> Vec<Instant> {
    let mut times = Vec::new();
    while times.len() < count {
        let Ok(one) = applied.recv_timeout(Duration::from_mins(1)) else {
            println!(
                "version {version}: {} of {count} VMs within a minute",
                times.len()
            );
            break;
        };
        if one.version == version {
            times.push(one.at);
        }
    }
    times
}

fn in_force(zones: u16, each: u16) {
    const CHANGES: u64 = 200;
    let (mut fleet, applied) = Fleet::start(zones, each);
    std::thread::sleep(SETTLE);
    let count = usize::from(zones * each);
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    for _ in 0..CHANGES {
        let version = fleet.change();
        let accepted = Instant::now();
        for at in await_all(&applied, count, version) {
            let micros = at.saturating_duration_since(accepted).as_micros();
            times
                .record(u64::try_from(micros).unwrap_or(u64::MAX))
                .expect("in range");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let ms = |micros: u64| format!("{}.{:03}", micros / 1_000, micros % 1_000);
    println!(
        "{zones} {count} {CHANGES} {} {} {}",
        ms(times.value_at_quantile(0.5)),
        ms(times.value_at_quantile(0.99)),
        ms(times.max())
    );
    fleet.stop();
}

fn cost(zones: u16, each: u16) {
    let before = Usage::read().resident;
    let (mut fleet, applied) = Fleet::start(zones, each);
    let count = u64::from(zones * each);
    std::thread::sleep(SETTLE);
    for load in ["rest", "1 change/s"] {
        let start = Usage::read();
        let ends = Instant::now() + WINDOW;
        while Instant::now() < ends {
            if load != "rest" {
                fleet.change();
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        let used = Usage::read().since(&start);
        let seconds = WINDOW.as_secs() * count;
        // Nanoseconds a second are millionths of a permille.
        let cpu = |name| {
            let nanos = used.cpu(name) / seconds;
            format!("{}.{:03}", nanos / 1_000_000, nanos / 1_000 % 1_000)
        };
        println!(
            "{zones} {each} {load}: {} {} ({}, {}, {}) {}",
            used.bytes / seconds,
            2 * used.bytes / seconds,
            cpu("membership"),
            cpu("spread"),
            cpu(PEERS),
            Usage::read().resident.saturating_sub(before) / count
        );
    }
    drop(applied);
    fleet.stop();
}
