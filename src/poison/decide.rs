//! When a request is charged with the loss of an upstream. Without I/O or clock.
//!
//! One cut connection charges nobody. A process is lost if two of its connections are cut within a
//! burst, or a connection is cut and a new one is refused.

use {
    super::{
        messages::{Charge, Lift, Listed},
        settings::Settings,
        state::{Cut, Record, State},
    },
    crate::{clock::Micros, ledger::Fingerprint},
    std::net::SocketAddr,
};

/// Cuts remembered at most.
const CUTS: usize = 1_024;
/// Milliseconds within which news of one upstream's loss is of the same loss.
const SAME_LOSS_MS: u64 = 2_000;

/// Takes in a cut connection; yields charges if it shows that the process is lost.
#[must_use]
pub fn cut(
    state: &mut State,
    settings: &Settings,
    print: Fingerprint,
    address: SocketAddr,
    now: Micros,
) -> Vec<Charge> {
    expire(state, settings, now);
    if state.cuts.len() >= CUTS {
        state.cuts.pop_front();
    }
    state.cuts.push_back(Cut {
        print,
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

/// Charges every request whose connection to `address` was cut of late: that process is lost.
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
            print: cut.print,
            upstream: address,
        });
    }
    state.cuts.retain(|cut| cut.address != address);
    charges.retain(|charge| self::charge(state, settings, *charge, now));
    charges
}

/// Charges a request; false if that loss is charged already.
pub fn charge(state: &mut State, settings: &Settings, charge: Charge, now: Micros) -> bool {
    let until = now.plus_millis(settings.ttl_ms);
    if let Some(record) = state.charges.get_mut(&charge.print) {
        let same = |(address, at): &(SocketAddr, Micros)| {
            *address == charge.upstream && now < at.plus_millis(SAME_LOSS_MS)
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
    make_room(state, settings);
    let losses = vec![(charge.upstream, now)];
    state.charges.insert(charge.print, Record { losses, until });
    true
}

fn make_room(state: &mut State, settings: &Settings) {
    if state.charges.len() < settings.charges {
        return;
    }
    let oldest = state.charges.rows().iter().min_by_key(|row| row.1.until);
    if let Some(print) = oldest.map(|row| row.0) {
        state.charges.remove(&print);
    }
}

/// Lifts charges; true if there were any.
pub fn lift(state: &mut State, lift: Lift) -> bool {
    let before = state.charges.len();
    match lift.print {
        Some(print) => drop(state.charges.remove(&print)),
        None => state.charges.retain(|_, _| false),
    }
    state.charges.len() < before
}

/// Forgets what is out of date.
pub fn expire(state: &mut State, settings: &Settings, now: Micros) {
    let keep = |cut: &Cut| now <= cut.at.plus_millis(settings.watch_ms);
    state.cuts.retain(keep);
    state.charges.retain(|_, record| now < record.until);
}

/// The charges as an operator sees them.
#[must_use]
pub fn list(state: &State, settings: &Settings, now: Micros) -> Vec<Listed> {
    let rows = state.charges.rows().iter();
    let rows = rows.map(|(print, record)| Listed {
        print: *print,
        upstreams: record.losses.iter().map(|loss| loss.0).collect(),
        poisoned: record.losses.len() >= settings.losses,
        left_ms: u64::try_from(record.until.since(now).as_millis()).unwrap_or(u64::MAX),
    });
    rows.collect()
}
