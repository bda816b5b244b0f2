//! Picks the peer for a request. Without I/O or clock.

use {
    super::{
        messages::Peer,
        state::{Row, State},
    },
    crate::{
        keys::{ServiceKey, ZoneKey},
        settings::topology::{FARTHEST, Topology},
    },
};

/// Where a request may go: its target, and the place that sends it there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way<'a> {
    /// Zone that is to serve it.
    pub target: ZoneKey,
    /// Service asked for.
    pub service: ServiceKey,
    /// Zone of this VM.
    pub own: ZoneKey,
    /// Names that the settings declare.
    pub topology: &'a Topology,
    /// Names of peers that have refused it.
    pub tried: &'a [String],
}

/// The peer for a request. One for another zone goes to that zone, to the VM with the most room.
/// One that found no slot here goes to the nearest place with room: another VM of this zone, of
/// this region, or of another region.
pub(super) fn choose(state: &State, way: Way) -> Option<Peer> {
    if way.target != way.own {
        return roomiest(state, way, |peer| peer.zone == way.target).map(|(_, peer)| peer);
    }
    (0..=FARTHEST).find_map(|far| {
        let near = |peer: &Peer| way.topology.distance(way.own, peer.zone) == far;
        let (room, peer) = roomiest(state, way, near)?;
        (room > 0).then_some(peer)
    })
}

/// The untried peer with the most free slots, less what it has been sent since its report.
fn roomiest(state: &State, way: Way, fits: impl Fn(&Peer) -> bool) -> Option<(i64, Peer)> {
    let untried = |peer: &Peer| !way.tried.contains(&peer.name);
    let rows = state.rows.iter();
    let rows = rows.filter(|row| untried(&row.peer) && fits(&row.peer));
    let rooms = rows.map(|row| (room(row, way.service), &row.peer));
    let (room, peer) = rooms.max_by_key(|(room, _)| *room)?;
    Some((room, peer.clone()))
}

fn room(row: &Row, service: ServiceKey) -> i64 {
    let free = row.peer.free.iter().find(|free| free.service == service);
    free.map_or(0, |free| i64::from(free.slots)) - i64::from(row.unseen)
}

/// Counts a request to the peer of that name as in flight; returns the report it was sent under.
pub(super) fn begin(state: &mut State, name: &str) -> u64 {
    let Some(row) = state.row(name) else { return 0 };
    row.unseen += 1;
    row.report
}

/// Counts a request as ended, unless a later report has counted it.
pub(super) fn end(state: &mut State, name: &str, report: u64) {
    let Some(row) = state.row(name) else { return };
    if row.report == report {
        row.unseen = row.unseen.saturating_sub(1);
    }
}
