//! Picks the peer for a request. Without I/O or clock.

use {
    super::{messages::Peer, state::State},
    crate::keys::{ServiceKey, ZoneKey},
};

/// The peer of `zone` with the most free slots of `service`, less what is on its way there from
/// here. Within the `own` zone only a peer with free slots will do: this VM has asked itself.
pub(super) fn choose(
    state: &State,
    zone: ZoneKey,
    service: ServiceKey,
    own: ZoneKey,
) -> Option<Peer> {
    let peers = state.rows.iter().filter(|(peer, _)| peer.zone == zone);
    let room = peers.map(|(peer, inflight)| (room(peer, service, *inflight), peer));
    let (most, best) = room.max_by_key(|(room, _)| *room)?;
    (zone != own || most > 0).then(|| best.clone())
}

fn room(peer: &Peer, service: ServiceKey, inflight: u32) -> i64 {
    let free = peer.free.iter().find(|free| free.service == service);
    free.map_or(0, |free| i64::from(free.slots)) - i64::from(inflight)
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
