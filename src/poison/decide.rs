//! Decides when a request is charged with the loss of an upstream, without I/O or clock.
//!
//! A single cut connection charges no request. An upstream process is considered lost if two of
//! its connections are cut within `burst_ms`, or if one is cut and a new connection is refused.

use {
    super::{
        messages::{Charge, ChargedRequest, Lift},
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
    address: SocketAddr,
    now: Micros,
) -> Vec<Charge> {
    expire(state, settings, now);
    if state.cuts.len() >= MAX_CUTS {
        state.cuts.pop_front();
    }
    state.cuts.push_back(Cut {
        fingerprint,
        address,
        at: now,
    });
    let recent =
        |cut: &&Cut| cut.address == address && now <= cut.at.plus_millis(settings.burst_ms);
    if state.cuts.iter().filter(recent).count() < 2 {
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
    for cut in state.cuts.iter().filter(|cut| cut.address == address) {
        charges.push(Charge {
            fingerprint: cut.fingerprint,
            upstream: address,
        });
    }
    state.cuts.retain(|cut| cut.address != address);
    charges.retain(|charge| self::charge(state, settings, *charge, now));
    charges
}

/// Charges a request with a loss; false if the request is already charged with this loss.
pub fn charge(state: &mut State, settings: &Settings, charge: Charge, now: Micros) -> bool {
    let until = now.plus_millis(settings.ttl_ms);
    if let Some(record) = state.charges.get_mut(&charge.fingerprint) {
        let same = |(address, at): &(SocketAddr, Micros)| {
            *address == charge.upstream && now < at.plus_millis(LOSS_DEDUP_MS)
        };
        if record.losses.iter().any(same) {
            return false;
        }
        record.until = until;
        if record.losses.len() < settings.losses {
            record.losses.push((charge.upstream, now));
        }
        return true;
    }
    evict_oldest(state, settings);
    let losses = vec![(charge.upstream, now)];
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
    state.charges.retain(|_, record| now < record.until);
}

/// List of all charged requests, for operators.
#[must_use]
pub fn list(state: &State, settings: &Settings, now: Micros) -> Vec<ChargedRequest> {
    let rows = state.charges.rows().iter();
    let rows = rows.map(|(fingerprint, record)| ChargedRequest {
        fingerprint: *fingerprint,
        upstreams: record.losses.iter().map(|loss| loss.0).collect(),
        poisoned: record.losses.len() >= settings.losses,
        left_ms: u64::try_from(record.until.since(now).as_millis()).unwrap_or(u64::MAX),
    });
    rows.collect()
}
