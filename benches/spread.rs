//! Measures the time from the acceptance of a change until it is in force on every VM, and the
//! resources that membership and spread use per VM. Not part of CI.
//!
//! A VM consists of the membership and spread duties and a peer listener, on threads of this
//! process. Traffic is read from the loopback device: run the bench in a separate network
//! namespace, so that it counts no other traffic.

#[path = "spread/node.rs"]
mod node;
#[path = "spread/usage.rs"]
mod usage;

use {
    hdrhistogram::Histogram,
    node::{Applied, Fleet, PEERS_THREAD},
    std::{
        sync::mpsc::Receiver,
        time::{Duration, Instant},
    },
    usage::Usage,
};

const SETTLE_TIME: Duration = Duration::from_secs(12);
const MEASURE_WINDOW: Duration = Duration::from_secs(10);

fn main() {
    println!("zones, VMs, changes, in force after ms: p50, p99, max");
    for (zones, vms_per_zone) in [(3, 4), (6, 5)] {
        measure_propagation(zones, vms_per_zone);
    }
    println!(
        "zones, VMs a zone, load, a VM and second: bytes sent, bytes sent and received, \
         CPU permille of a core (membership, spread, peers), KB resident a VM"
    );
    for (zones, vms_per_zone) in [(2, 4), (2, 8), (2, 16), (4, 4), (8, 4)] {
        measure_usage(zones, vms_per_zone);
    }
}

/// Waits until every VM has applied `version`, and returns the instant at which each did.
///
/// Gives up after a minute without a notification; the result then has fewer than `count` items.
fn await_all(applied: &Receiver<Applied>, count: usize, version: u64) -> Vec<Instant> {
    let mut times = Vec::new();
    while times.len() < count {
        let Ok(update) = applied.recv_timeout(Duration::from_mins(1)) else {
            println!(
                "version {version}: {} of {count} VMs within a minute",
                times.len()
            );
            break;
        };
        if update.version == version {
            times.push(update.at);
        }
    }
    times
}

/// Prints the time from the acceptance of a change until it is in force, over all VMs and changes.
fn measure_propagation(zones: u16, vms_per_zone: u16) {
    const CHANGES: u64 = 200;
    let (mut fleet, applied) = Fleet::start(zones, vms_per_zone);
    std::thread::sleep(SETTLE_TIME);
    let count = usize::from(zones * vms_per_zone);
    let mut latency_us = Histogram::<u64>::new(3).expect("valid precision");
    for _ in 0..CHANGES {
        let version = fleet.change();
        let accepted = Instant::now();
        for at in await_all(&applied, count, version) {
            let micros = at.saturating_duration_since(accepted).as_micros();
            latency_us
                .record(u64::try_from(micros).unwrap_or(u64::MAX))
                .expect("latency in range");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let format_ms = |micros: u64| format!("{}.{:03}", micros / 1_000, micros % 1_000);
    println!(
        "{zones} {count} {CHANGES} {} {} {}",
        format_ms(latency_us.value_at_quantile(0.5)),
        format_ms(latency_us.value_at_quantile(0.99)),
        format_ms(latency_us.max())
    );
    fleet.stop();
}

/// Prints traffic, CPU time and memory per VM, without changes and with one change per second.
fn measure_usage(zones: u16, vms_per_zone: u16) {
    let resident_before = Usage::read().resident_kb;
    let (mut fleet, applied) = Fleet::start(zones, vms_per_zone);
    let count = u64::from(zones * vms_per_zone);
    std::thread::sleep(SETTLE_TIME);
    for load in ["rest", "1 change/s"] {
        let start = Usage::read();
        let deadline = Instant::now() + MEASURE_WINDOW;
        while Instant::now() < deadline {
            if load != "rest" {
                fleet.change();
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        let used = Usage::read().since(&start);
        let seconds = MEASURE_WINDOW.as_secs() * count;
        // 1 ns of CPU time per second is a millionth of a permille of a core.
        let cpu = |name| {
            let nanos = used.cpu(name) / seconds;
            format!("{}.{:03}", nanos / 1_000_000, nanos / 1_000 % 1_000)
        };
        println!(
            "{zones} {vms_per_zone} {load}: {} {} ({}, {}, {}) {}",
            used.loopback_bytes / seconds,
            2 * used.loopback_bytes / seconds,
            cpu("membership"),
            cpu("spread"),
            cpu(PEERS_THREAD),
            Usage::read().resident_kb.saturating_sub(resident_before) / count
        );
    }
    drop(applied);
    fleet.stop();
}
