//! Decisions about upstreams that leave.

use {
    super::state::{Leaving, State},
    crate::clock::Micros,
    std::sync::Arc,
};

/// Milliseconds for which an upstream that left is remembered once the catalogue no longer lists it. A report that a
/// partition delayed arrives within that time.
const MEMORY_MS: u64 = 600_000;

/// Records that the incarnation `born` of the upstream `id` leaves. Returns whether this was not known.
///
/// ```
/// # use siskinstep::{backpressure::{self, State}, clock::Micros};
/// let mut state = State::default();
/// assert!(backpressure::record_leaving(&mut state, &"u-1".into(), 5, Micros(0)));
/// assert!(!backpressure::record_leaving(&mut state, &"u-1".into(), 5, Micros(0)));
/// ```
pub fn record_leaving(state: &mut State, id: &Arc<str>, born: u64, now: Micros) -> bool {
    if has_left(state, id, born) {
        return false;
    }
    let leaving = Leaving { born, listed: now };
    state.leaving.insert(Arc::clone(id), leaving);
    true
}

/// Whether the incarnation `born` of the upstream `id`, or a later one, has said that it leaves.
///
/// ```
/// # use siskinstep::{backpressure::{self, State}, clock::Micros};
/// let mut state = State::default();
/// backpressure::record_leaving(&mut state, &"u-1".into(), 5, Micros(0));
/// assert!(backpressure::has_left(&state, "u-1", 5));
/// assert!(!backpressure::has_left(&state, "u-1", 6));
/// ```
#[must_use]
pub fn has_left(state: &State, id: &str, born: u64) -> bool {
    let leaving = state.leaving.get(id);
    leaving.is_some_and(|leaving| born <= leaving.born)
}

/// Forgets ended rest periods of unlisted upstreams, and departures of upstreams that the catalogue has not listed
/// for `MEMORY_MS`. One that states no incarnation (0) is forgotten as soon as it is not listed: nothing else tells its
/// next incarnation from this one.
///
/// ```
/// # use siskinstep::{backpressure::{self, State}, clock::Micros};
/// let mut state = State::default();
/// backpressure::record_leaving(&mut state, &"u-1".into(), 5, Micros(0));
/// backpressure::forget(&mut state, |_| false, Micros::from_millis(1_000));
/// assert!(backpressure::has_left(&state, "u-1", 5));
/// ```
pub fn forget(state: &mut State, is_listed: impl Fn(&str) -> bool, now: Micros) {
    state.leaving.retain(|id, leaving| {
        if is_listed(id) {
            leaving.listed = now;
            return true;
        }
        leaving.born > 0 && now < leaving.listed.plus_millis(MEMORY_MS)
    });
    state.unlisted.retain(|_, rest| now < rest.until);
}
