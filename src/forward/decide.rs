//! Selects the peer for a request. Without I/O or clock.

use {
    super::{
        messages::Peer,
        state::{Row, State},
    },
    crate::{
        keys::{ServiceKey, ZoneKey},
        settings::topology::{MAX_DISTANCE, Topology},
    },
};

/// Criteria by which the peer for a request is selected.
#[derive(Clone, Copy, Debug)]
pub(super) struct Criteria<'a> {
    /// Zone that is to serve the request.
    pub target: ZoneKey,
    /// Requested service.
    pub service: ServiceKey,
    /// Zone of this VM.
    pub local: ZoneKey,
    /// Topology that the settings declare.
    pub topology: &'a Topology,
    /// Names of the peers already tried without success.
    pub tried: &'a [String],
}

/// Selects the peer for a request.
///
/// A request for another zone goes to the VM of that zone with the most free slots. A request that
/// found no slot on this VM goes to the nearest VM with a free slot: in this zone, in this region,
/// or in another region.
pub(super) fn choose(state: &State, criteria: Criteria) -> Option<Peer> {
    if criteria.target != criteria.local {
        return most_free(state, criteria, |peer| peer.zone == criteria.target)
            .map(|(_, peer)| peer);
    }
    (0..=MAX_DISTANCE).find_map(|distance| {
        let is_at_distance =
            |peer: &Peer| criteria.topology.distance(criteria.local, peer.zone) == distance;
        let (free, peer) = most_free(state, criteria, is_at_distance)?;
        (free > 0).then_some(peer)
    })
}

/// The matching, untried peer with the most free slots, not counting the slots taken by requests
/// sent to it since its last report.
fn most_free(
    state: &State,
    criteria: Criteria,
    matches: impl Fn(&Peer) -> bool,
) -> Option<(i64, Peer)> {
    let is_untried = |peer: &Peer| !criteria.tried.contains(&peer.name);
    let rows = state.rows.iter();
    let rows = rows.filter(|row| is_untried(&row.peer) && matches(&row.peer));
    let candidates = rows.map(|row| (free_slots(row, criteria.service), &row.peer));
    let (free, peer) = candidates.max_by_key(|(free, _)| *free)?;
    Some((free, peer.clone()))
}

fn free_slots(row: &Row, service: ServiceKey) -> i64 {
    let free = row.peer.free.iter().find(|row| row.service == service);
    free.map_or(0, |row| i64::from(row.slots)) - i64::from(row.unreported)
}

/// Counts a request to the peer named `name` as in flight; returns the number of the peer's report.
pub(super) fn record_sent(state: &mut State, name: &str) -> u64 {
    let Some(row) = state.row(name) else { return 0 };
    row.unreported += 1;
    row.report
}

/// Counts a request as completed, unless a later report than `report` already includes it.
pub(super) fn record_done(state: &mut State, name: &str, report: u64) {
    let Some(row) = state.row(name) else { return };
    if row.report == report {
        row.unreported = row.unreported.saturating_sub(1);
    }
}
