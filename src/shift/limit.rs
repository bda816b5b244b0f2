//! What one shift or cap may move, in both units. Without I/O or clock.

use crate::{clock::Micros, policy::Amount};

/// The whole of an amount, in the thousandths that a ramp is counted in.
pub(super) const WHOLE_LEVEL: u64 = 1_000;
/// One request in the units of a credit: permille times thousandths of the ramp.
const ONE_REQUEST: u64 = 1_000 * WHOLE_LEVEL;
const MOST_CREDIT: u64 = 2 * ONE_REQUEST;
const SECOND_MICROS: u64 = 1_000_000;

/// A limit on moved requests. It never lets past more than its amount, counted from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// A share of the requests seen.
    Share {
        /// Thousandths of the requests seen.
        permille: u16,
        /// Earned by seen requests and spent by moved ones.
        credit: u64,
    },
    /// This VM's part of an absolute rate.
    Rate {
        /// Requests a second; zero moves nothing.
        part: u32,
        /// When the last request moved, or when the limit began.
        last: Micros,
        /// Whether a request has moved yet.
        used: bool,
    },
}

impl Limit {
    /// A limit that begins now; an absolute rate is divided by `vms`.
    pub(super) fn new(amount: Amount, vms: u32, now: Micros) -> Self {
        match amount {
            Amount::Permille(permille) => Self::Share {
                permille,
                credit: 0,
            },
            Amount::PerSecond(rate) => Self::Rate {
                part: rate.checked_div(vms).unwrap_or(0),
                last: now,
                used: false,
            },
        }
    }

    /// Counts a request seen, at a ramp of `level` thousandths.
    pub(super) fn see(&mut self, level: u64) {
        if let Self::Share { permille, credit } = self {
            // Bounded, so that a shift which waited does not catch up in a burst.
            *credit = (*credit + u64::from(*permille) * level).min(MOST_CREDIT);
        }
    }

    /// Whether one more request may move.
    pub(super) fn has_room(&self, level: u64, now: Micros) -> bool {
        match *self {
            Self::Share { credit, .. } => credit >= ONE_REQUEST,
            Self::Rate { part, last, used } => {
                let wait = if used {
                    spacing(part, level)
                } else {
                    // What an earlier incarnation moved leaves the window first.
                    (part > 0 && level > 0).then_some(SECOND_MICROS)
                };
                wait.is_some_and(|wait| now.0 >= last.0.saturating_add(wait))
            }
        }
    }

    /// Spends the room for one request.
    pub(super) fn take(&mut self, now: Micros) {
        match self {
            Self::Share { credit, .. } => *credit -= ONE_REQUEST.min(*credit),
            Self::Rate { last, used, .. } => {
                *last = now;
                *used = true;
            }
        }
    }

    /// How much the shift is behind, to serve the one that is furthest behind first.
    pub(super) fn arrears(&self, now: Micros) -> u64 {
        match *self {
            Self::Share { credit, .. } => credit,
            Self::Rate { last, .. } => now.0.saturating_sub(last.0),
        }
    }

    /// Whether it is an absolute rate whose part for this VM is zero.
    pub(super) fn lacks_part(&self) -> bool {
        matches!(self, Self::Rate { part: 0, .. })
    }
}

/// Microseconds between two requests, rounded up so that no second holds more than `part`.
fn spacing(part: u32, level: u64) -> Option<u64> {
    let slowed = (SECOND_MICROS * WHOLE_LEVEL).checked_div(level)?;
    (part > 0).then(|| slowed.div_ceil(u64::from(part)))
}
