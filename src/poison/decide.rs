//! Decides when a request is charged with the loss of an upstream, without I/O or clock.
//!
//! A single cut connection charges no request. An upstream process is considered lost if two of
//! its connections are cut within `burst_ms`, or if one is cut and a new connection is refused. Charges of
//! the whole fleet are counted by the control VMs (`catalog::charges`).

use {
    super::{
        messages::{Charge, ChargedRequest, Lift, Process},
        settings::Settings,
        state::{ChargeRecord, Cut, State},
    },
    crate::{clock::Micros, ledger::Fingerprint},
    std::net::SocketAddr,
};

/// Maximum number of cuts kept.
const MAX_CUTS: usize = 1_024;
/// Time in milliseconds within which repeated reports of an upstream's loss count as one loss.
const LOSS_DEDUP_MS: u64 = 2_000;

/// Records a cut connection. Returns the charges if it shows that the upstream process is lost.
#[must_use]
pub fn cut(
    state: &mut State,
    settings: &Settings,
    fingerprint: Fingerprint,
    process: Process,
    now: Micros,
) -> Vec<Charge> {
    expire(state, settings, now);
    if state.cuts.len() >= MAX_CUTS {
        state.cuts.pop_front();
    }
    state.cuts.push_back(Cut {
        fingerprint,
        process,
        at: now,
    });
    let address = process.address;
    let recent =
        |cut: &&Cut| cut.process.address == address && now <= cut.at.plus_millis(settings.burst_ms);
    if settings.burst_ms == 0 || state.cuts.iter().filter(recent).count() < 2 {
        return Vec::new();
    }
    lost(state, settings, address, now)
}

/// Charges every request whose connection to the lost upstream `address` was cut within `watch_ms`.
#[must_use]
pub fn lost(
    state: &mut State,
    settings: &Settings,
    address: SocketAddr,
    now: Micros,
) -> Vec<Charge> {
    let mut charges = Vec::new();
    let at_upstream = |cut: &&Cut| cut.process.address == address;
    for cut in state.cuts.iter().filter(at_upstream) {
        charges.push(Charge {
            fingerprint: cut.fingerprint,
            upstream: address,
            born: cut.process.born,
        });
    }
    forget_cuts(state, address);
    charges.retain(|charge| self::charge(state, settings, *charge, now));
    charges
}

/// Removes the cuts of an upstream that is not lost, such as one that was stopped on order.
pub fn forget_cuts(state: &mut State, address: SocketAddr) {
    state.cuts.retain(|cut| cut.process.address != address);
}

/// Whether a process is one whose loss is known. Without incarnations, repeated reports are recognised by their
/// time.
fn is_known(known: &(Process, Micros), process: Process, now: Micros) -> bool {
    let (other, at) = *known;
    let is_dated = process.born > 0 && other.born > 0;
    other.address == process.address
        && if is_dated {
            other.born == process.born
        } else {
            now < at.plus_millis(LOSS_DEDUP_MS)
        }
}

/// Takes over the charges that the control VMs hold as of `revision`. Those that they no longer hold are lifted.
pub fn replicate(
    state: &mut State,
    settings: &Settings,
    (revision, rows): (u64, &[(Fingerprint, Vec<Process>)]),
    now: Micros,
) {
    let replicated: Vec<Fingerprint> = rows.iter().map(|row| row.0).collect();
    let before = std::mem::replace(&mut state.replicated, replicated);
    state.revision = revision;
    for fingerprint in before {
        if state.replicated.binary_search(&fingerprint).is_err() {
            state.charges.remove(&fingerprint);
        }
    }
    for (fingerprint, losses) in rows {
        let record = state.charges.get(fingerprint);
        let known: Vec<Process> = record
            .map(|record| record.losses.iter().map(|loss| loss.0).collect())
            .unwrap_or_default();
        for process in losses.iter().filter(|process| !known.contains(process)) {
            let replicated = Charge {
                fingerprint: *fingerprint,
                upstream: process.address,
                born: process.born,
            };
            charge(state, settings, replicated, now);
        }
    }
}

/// Charges a request with a loss; false if the request is already charged with this loss.
pub fn charge(state: &mut State, settings: &Settings, charge: Charge, now: Micros) -> bool {
    let until = now.plus_millis(settings.ttl_ms);
    let process = Process {
        address: charge.upstream,
        born: charge.born,
    };
    if let Some(record) = state.charges.get_mut(&charge.fingerprint) {
        let mut losses = record.losses.iter();
        if losses.any(|known| is_known(known, process, now)) {
            return false;
        }
        record.until = until;
        if record.losses.len() < settings.losses {
            record.losses.push((process, now));
        }
        return true;
    }
    evict_oldest(state, settings);
    let losses = vec![(process, now)];
    state
        .charges
        .insert(charge.fingerprint, ChargeRecord { losses, until });
    true
}

fn evict_oldest(state: &mut State, settings: &Settings) {
    if state.charges.len() < settings.charges {
        return;
    }
    let oldest = state.charges.rows().iter().min_by_key(|row| row.1.until);
    if let Some(fingerprint) = oldest.map(|row| row.0) {
        state.charges.remove(&fingerprint);
    }
}

/// Removes charges; true if any were removed.
pub fn lift(state: &mut State, lift: Lift) -> bool {
    let before = state.charges.len();
    match lift.fingerprint {
        Some(fingerprint) => drop(state.charges.remove(&fingerprint)),
        None => state.charges.retain(|_, _| false),
    }
    state.charges.len() < before
}

/// Removes expired cuts and charges.
pub fn expire(state: &mut State, settings: &Settings, now: Micros) {
    let keep = |cut: &Cut| now <= cut.at.plus_millis(settings.watch_ms);
    state.cuts.retain(keep);
    let replicated = &state.replicated;
    state.charges.retain(|fingerprint, record| {
        now < record.until || replicated.binary_search(fingerprint).is_ok()
    });
}

/// List of all charged requests, for operators.
#[must_use]
pub fn list(state: &State, settings: &Settings, now: Micros) -> Vec<ChargedRequest> {
    let rows = state.charges.rows().iter();
    let rows = rows.map(|(fingerprint, record)| ChargedRequest {
        fingerprint: *fingerprint,
        upstreams: record.losses.iter().map(|loss| loss.0.address).collect(),
        poisoned: record.losses.len() >= settings.losses,
        left_ms: u64::try_from(record.until.since(now).as_millis()).unwrap_or(u64::MAX),
    });
    rows.collect()
}
