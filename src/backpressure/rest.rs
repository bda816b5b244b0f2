//! Decisions about rest periods.
//!
//! An upstream that asked for a rest period gets no request until its end, extended at random so that the entry VMs do
//! not return at the same time. Then one request tests it. Once that is answered, others follow at a rate that doubles
//! with each of them.

use {
    super::{
        messages::Change,
        state::{Phase, Rest, State},
    },
    crate::{
        clock::Micros,
        keys::{InFlightKey, UpstreamKey},
    },
    std::sync::Arc,
};

/// Divisor of a rest period that gives its maximum random extension, and the first interval of the return.
const SHARE_DIVISOR: u64 = 4;
/// Bounds of the maximum random extension in milliseconds: at least the time of a request, and short compared to the
/// time in which an upstream starts.
const MIN_EXTENSION_MS: u64 = 250;
const MAX_EXTENSION_MS: u64 = 4_000;
/// Bounds of the first interval of the return in milliseconds.
const MIN_SPACING_MS: u64 = 100;
const MAX_SPACING_MS: u64 = 1_000;
/// Interval in milliseconds below which the return is complete: most entry VMs send an upstream fewer requests.
const LAST_SPACING_MS: u64 = 20;

/// Records that an upstream asks for no requests until `asked_until`; `random` is drawn anew for each call.
///
/// ```
/// # use siskinstep::{backpressure::{self, State}, clock::Micros, keys::UpstreamKey};
/// # let mut keys: slotmap::SlotMap<UpstreamKey, ()> = slotmap::SlotMap::default();
/// let (mut state, upstream) = (State::default(), keys.insert(()));
/// let end = Micros::from_millis(2_000);
/// assert!(backpressure::record_rest(&mut state, upstream, end, 7, Micros(0)).is_some());
/// assert!(!backpressure::may_send(&state, upstream, Micros::from_millis(1_999)));
/// ```
pub fn record_rest(
    state: &mut State,
    upstream: UpstreamKey,
    asked_until: Micros,
    random: u64,
    now: Micros,
) -> Option<Change> {
    let known = state.rests.get(upstream).copied();
    let rest = renew(known, asked_until, random, now)?;
    state.rests.insert(upstream, rest);
    Some(Change::Resting(rest.until))
}

/// Records the same of an incarnation that the catalogue does not list.
pub fn record_unlisted_rest(
    state: &mut State,
    (id, born): (&Arc<str>, u64),
    asked_until: Micros,
    random: u64,
    now: Micros,
) {
    let name = (Arc::clone(id), born);
    let known = state.unlisted.get(&name).copied();
    if let Some(rest) = renew(known, asked_until, random, now) {
        state.unlisted.insert(name, rest);
    }
}

/// The rest that follows from a period until `asked_until`, unless it is over or a `known` one lasts longer.
fn renew(known: Option<Rest>, asked_until: Micros, random: u64, now: Micros) -> Option<Rest> {
    if asked_until <= now || known.is_some_and(|rest| asked_until <= rest.asked_until) {
        return None;
    }
    let rest_ms = u64::try_from(asked_until.since(now).as_millis()).unwrap_or(u64::MAX);
    let share_ms = rest_ms / SHARE_DIVISOR;
    let extension_ms = random % share_ms.clamp(MIN_EXTENSION_MS, MAX_EXTENSION_MS);
    Some(Rest {
        asked_until,
        until: asked_until.plus_millis(extension_ms),
        spacing_ms: share_ms.clamp(MIN_SPACING_MS, MAX_SPACING_MS),
        phase: Phase::Resting,
    })
}

/// Whether an upstream may be sent a request now.
///
/// ```
/// # use siskinstep::{backpressure::{self, State}, clock::Micros, keys::UpstreamKey};
/// assert!(backpressure::may_send(&State::default(), UpstreamKey::default(), Micros(0)));
/// ```
#[must_use]
pub fn may_send(state: &State, upstream: UpstreamKey, now: Micros) -> bool {
    let rest = state.rests.get(upstream);
    rest.is_none_or(|rest| !matches!(rest.phase, Phase::Probing(_)) && now >= rest.until)
}

/// Earliest time at which an upstream may be sent a request: now, unless it rests or returns.
#[must_use]
pub fn free_at(state: &State, upstream: UpstreamKey, now: Micros) -> Micros {
    match state.rests.get(upstream) {
        Some(rest) if !matches!(rest.phase, Phase::Probing(_)) => rest.until.max(now),
        _ => now,
    }
}

/// Records that an upstream is sent a request.
pub fn record_sent(
    state: &mut State,
    upstream: UpstreamKey,
    in_flight: InFlightKey,
    now: Micros,
) -> Option<Change> {
    let rest = state.rests.get_mut(upstream)?;
    match rest.phase {
        Phase::Resting => {
            rest.phase = Phase::Probing(in_flight);
            Some(Change::Probing)
        }
        Phase::Probing(_) => None,
        Phase::Returning => {
            rest.spacing_ms /= 2;
            rest.until = now.plus_millis(rest.spacing_ms);
            if rest.spacing_ms >= LAST_SPACING_MS {
                return None;
            }
            state.rests.remove(upstream);
            Some(Change::Returned)
        }
    }
}

/// Records the end of an attempt at an upstream; `is_answered` if the upstream ran the request without an error.
pub fn record_end(
    state: &mut State,
    upstream: UpstreamKey,
    in_flight: InFlightKey,
    is_answered: bool,
    now: Micros,
) -> Option<Change> {
    let rest = state.rests.get_mut(upstream)?;
    if rest.phase != Phase::Probing(in_flight) {
        return None;
    }
    rest.until = now.plus_millis(rest.spacing_ms);
    if is_answered {
        rest.phase = Phase::Returning;
        return Some(Change::Returning);
    }
    rest.phase = Phase::Resting;
    Some(Change::Resting(rest.until))
}

/// Keeps the rest period of an upstream that the catalogue no longer lists with this key.
pub fn set_unlisted(state: &mut State, upstream: UpstreamKey, id: &Arc<str>, born: u64) {
    if let Some(rest) = state.rests.remove(upstream) {
        state.unlisted.insert((Arc::clone(id), born), rest);
    }
}

/// Applies the rest period of the same incarnation of an upstream to its new key.
pub fn set_listed(state: &mut State, upstream: UpstreamKey, id: &Arc<str>, born: u64) {
    if let Some(rest) = state.unlisted.remove(&(Arc::clone(id), born)) {
        // The probe in flight, if there is one, has the earlier key.
        let phase = match rest.phase {
            Phase::Probing(_) => Phase::Resting,
            phase => phase,
        };
        state.rests.insert(upstream, Rest { phase, ..rest });
    }
}
