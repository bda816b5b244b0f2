//! Limiter for one shift or cap, as a share of requests or an absolute rate. Without I/O or clock.

use crate::{clock::Micros, policy::Amount};

/// Ramp level at which the full amount applies.
pub(super) const FULL_LEVEL_PERMILLE: u64 = 1_000;
/// Tokens that one moved request costs: permille of the share times permille of the ramp level.
const TOKENS_PER_REQUEST: u64 = 1_000 * FULL_LEVEL_PERMILLE;
const MAX_TOKENS: u64 = 2 * TOKENS_PER_REQUEST;
const SECOND_MICROS: u64 = 1_000_000;

/// A limit on moved requests. Counted from its start, it never admits more than its amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// A share of the counted requests.
    Share {
        /// Permille of the counted requests.
        permille: u16,
        /// Token bucket, filled by counted requests and drawn from by moved ones.
        tokens: u64,
    },
    /// This VM's share of an absolute rate.
    Rate {
        /// Requests per second on this VM; zero moves nothing.
        vm_rate: u32,
        /// Time at which the last request moved, or at which the limit started.
        last: Micros,
        /// Whether a request has moved since the start.
        used: bool,
    },
}

impl Limit {
    /// Creates a limit that starts now; an absolute rate is divided by `vms`.
    pub(super) fn new(amount: Amount, vms: u32, now: Micros) -> Self {
        match amount {
            Amount::Permille(permille) => Self::Share {
                permille,
                tokens: 0,
            },
            Amount::PerSecond(rate) => Self::Rate {
                vm_rate: rate.checked_div(vms).unwrap_or(0),
                last: now,
                used: false,
            },
        }
    }

    /// Counts a matching request, at a ramp level of `level` permille.
    pub(super) fn count_request(&mut self, level: u64) {
        if let Self::Share { permille, tokens } = self {
            // Bounded, so that a shift that had to wait does not catch up in a burst.
            *tokens = (*tokens + u64::from(*permille) * level).min(MAX_TOKENS);
        }
    }

    /// Returns whether one more request may move.
    pub(super) fn has_room(&self, level: u64, now: Micros) -> bool {
        match *self {
            Self::Share { tokens, .. } => tokens >= TOKENS_PER_REQUEST,
            Self::Rate {
                vm_rate,
                last,
                used,
            } => {
                let wait = if used {
                    spacing(vm_rate, level)
                } else {
                    // Waits a full second first: an earlier incarnation of this VM may just have
                    // moved requests, which count in the same second.
                    (vm_rate > 0 && level > 0).then_some(SECOND_MICROS)
                };
                wait.is_some_and(|wait| now.0 >= last.0.saturating_add(wait))
            }
        }
    }

    /// Records that one request has moved.
    pub(super) fn spend(&mut self, now: Micros) {
        match self {
            Self::Share { tokens, .. } => *tokens -= TOKENS_PER_REQUEST.min(*tokens),
            Self::Rate { last, used, .. } => {
                *last = now;
                *used = true;
            }
        }
    }

    /// How far the shift lags behind its amount: tokens of a share, microseconds since the last
    /// request of a rate. The shift with the largest backlog is served first.
    pub(super) fn backlog(&self, now: Micros) -> u64 {
        match *self {
            Self::Share { tokens, .. } => tokens,
            Self::Rate { last, .. } => now.0.saturating_sub(last.0),
        }
    }

    /// Returns whether this is an absolute rate whose share for this VM is zero.
    pub(super) fn has_zero_rate(&self) -> bool {
        matches!(self, Self::Rate { vm_rate: 0, .. })
    }
}

/// Microseconds between two requests, rounded up so that no second holds more than `vm_rate`.
/// `None` if nothing may move.
fn spacing(vm_rate: u32, level: u64) -> Option<u64> {
    let slowed = (SECOND_MICROS * FULL_LEVEL_PERMILLE).checked_div(level)?;
    (vm_rate > 0).then(|| slowed.div_ceil(u64::from(vm_rate)))
}
