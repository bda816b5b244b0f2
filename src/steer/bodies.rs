//! Bytes of request bodies in flight to each upstream from this VM.
//!
//! An upstream that reads slowly holds the bodies that it has got, and one whose memory they exceed crashes. So
//! further bodies go to other upstreams, or wait, while requests without one are sent as before.

use {
    super::{
        place,
        state::{InFlight, State},
    },
    crate::{
        clock::Micros,
        keys::{InFlightKey, UpstreamKey},
    },
    slotmap::SecondaryMap,
};

/// Waiting requests that are tried in one scan though their bodies have no room; then only smaller ones are tried, as
/// each costs a selection.
const MAX_FAILED: u32 = 16;

/// Bytes of bodies in flight, by upstream. A new incarnation has a key of its own.
#[derive(Clone, Debug, Default)]
pub(super) struct Bodies {
    bytes: SecondaryMap<UpstreamKey, u64>,
}

impl Bodies {
    pub(super) fn in_flight(&self, upstream: UpstreamKey) -> u64 {
        self.bytes.get(upstream).copied().unwrap_or(0)
    }

    /// Records that a body is sent to an upstream.
    pub(super) fn add(&mut self, upstream: UpstreamKey, bytes: u64) {
        if bytes > 0 {
            self.bytes
                .insert(upstream, self.in_flight(upstream).saturating_add(bytes));
        }
    }

    /// Records that an attempt with a body has ended.
    pub(super) fn remove(&mut self, upstream: Option<UpstreamKey>, bytes: u64) {
        let Some(upstream) = upstream else { return };
        let left = self.in_flight(upstream).saturating_sub(bytes);
        if left > 0 {
            self.bytes.insert(upstream, left);
        } else {
            self.bytes.remove(upstream);
        }
    }
}

/// Whether an upstream may be sent the body of `in_flight`: within the bound, or alone.
pub(super) fn has_room(state: &State, in_flight: &InFlight, upstream: UpstreamKey) -> bool {
    let (held, added) = (state.bodies.in_flight(upstream), in_flight.body_bytes);
    let limit = state.settings.upstream_body_bytes;
    added == 0 || held == 0 || held.saturating_add(added) <= limit
}

/// Whether only the size of its body keeps a request from being sent. Such a request does not block those behind it.
pub(super) fn is_held_back(state: &State, key: InFlightKey, now: Micros) -> bool {
    let with_body = state.in_flight.get(key).filter(|row| row.body_bytes > 0);
    let Some(in_flight) = with_body else {
        return false;
    };
    let without = InFlight {
        body_bytes: 0,
        ..in_flight.clone()
    };
    let pool = state.pools.get(&in_flight.service);
    pool.is_some_and(|pool| place::choose(state, pool, &without, now).is_some())
}

/// A scan of the requests that wait for one service, in their order.
#[derive(Debug)]
pub(super) struct Scan {
    /// Whether one of them has no free slot, which blocks those behind it, so that none of its rank overtakes it.
    is_blocked: bool,
    /// Those that were held back for their bodies, and the smallest of these bodies.
    held_back: (u32, u64),
}

impl Default for Scan {
    fn default() -> Self {
        Self {
            is_blocked: false,
            held_back: (0, u64::MAX),
        }
    }
}

impl Scan {
    /// Whether a request with a body of that many bytes is worth a selection.
    pub(super) fn may_try(&self, body_bytes: u64) -> bool {
        let (failed, smallest) = self.held_back;
        !self.is_blocked && (failed < MAX_FAILED || body_bytes < smallest)
    }

    /// Records that a request was tried and not sent.
    pub(super) fn record_unsent(&mut self, state: &State, key: InFlightKey, now: Micros) {
        if !is_held_back(state, key, now) {
            self.is_blocked = true;
            return;
        }
        let bytes = state.in_flight.get(key).map_or(0, |row| row.body_bytes);
        let (failed, smallest) = self.held_back;
        self.held_back = (failed + 1, smallest.min(bytes));
    }
}
