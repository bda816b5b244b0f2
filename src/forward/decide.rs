//! Picks the peer for a request. Without I/O or clock.

use {
    super::{messages::Peer, state::State},
    crate::keys::ZoneKey,
};

/// The peer of `zone` with the most free slots, less what is on its way there from here.
pub(super) fn choose(state: &State, zone: ZoneKey) -> Option<Peer> {
    let peers = state.rows.iter().filter(|(peer, _)| peer.zone == zone);
    let best = peers.max_by_key(|(peer, inflight)| i64::from(peer.free) - i64::from(*inflight))?;
    Some(best.0.clone())
}

/// Counts a request to the peer of that name as in flight, or as ended.
pub(super) fn count(state: &mut State, name: &str, started: bool) {
    let Ok(at) = state
        .rows
        .binary_search_by(|(peer, _)| peer.name.as_str().cmp(name))
    else {
        return;
    };
    let inflight = &mut state.rows[at].1;
    *inflight = if started {
        *inflight + 1
    } else {
        inflight.saturating_sub(1)
    };
}
