//! Which control VMs vote: few of many, spread evenly over regions and then availability zones.
//!
//! It applies when more control VMs run than may vote. With an even spread, the loss of a region, of a
//! zone or of a few VMs leaves a quorum.

use {
    super::{
        decide::Step,
        state::State,
        wire::{Body, Envelope, Member},
    },
    crate::{clock::Micros, keys::DiskId, sorted::Sorted},
    std::{net::SocketAddr, sync::Arc},
};

/// Heartbeat intervals between two messages with the place of this VM, which does not change but may be lost.
const LOCATED_HEARTBEATS: u64 = 3;

/// Region and availability zone of a control VM, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) region: Arc<str>,
    pub(super) zone: Arc<str>,
}

/// Sums of the squares of the voters of each region and of each zone; an even spread has the lowest.
pub(super) type Imbalance = (usize, usize);

/// Imbalance of the voters at these places.
pub(super) fn imbalance(places: &[&Place]) -> Imbalance {
    let squares = |name: fn(&Place) -> &Arc<str>| {
        let mut counts: Sorted<Arc<str>, usize> = Sorted::default();
        for place in places {
            let name = name(place);
            let count = counts.get(name).copied().unwrap_or(0);
            counts.insert(Arc::clone(name), count + 1);
        }
        let squares = counts.rows().iter().map(|(_, count)| count * count);
        squares.sum()
    };
    (squares(|place| &place.region), squares(|place| &place.zone))
}

/// Index of the candidate whose addition leaves the lowest imbalance; the first of equals. If
/// `knows_places`, a candidate whose place is not known yet waits; otherwise no VM has one.
pub(super) fn best_candidate(
    voters: &[&Place],
    candidates: &[Option<&Place>],
    knows_places: bool,
) -> Option<usize> {
    let cost = |at: &usize| {
        let candidate = candidates[*at];
        let all: Vec<&Place> = voters.iter().copied().chain(candidate).collect();
        imbalance(&all)
    };
    let ready = (0..candidates.len()).filter(|at| candidates[*at].is_some() || !knows_places);
    ready.min_by_key(cost)
}

/// Index of the voter whose replacement by `candidate` lowers the imbalance most; `None` if none does.
/// `fixed` is the index of a voter that stays.
pub(super) fn replaceable(
    voters: &[&Place],
    fixed: Option<usize>,
    candidate: &Place,
) -> Option<usize> {
    let cost = |at: usize| {
        let mut next = voters.to_vec();
        next[at] = candidate;
        imbalance(&next)
    };
    let best = (0..voters.len()).filter(|at| Some(*at) != fixed);
    let best = best.min_by_key(|at| cost(*at))?;
    (cost(best) < imbalance(voters)).then_some(best)
}

/// Places of the members that vote, if all of them are known, and the index of this replica's.
pub(super) fn voters(state: &State) -> Option<(Vec<&Member>, Vec<&Place>, Option<usize>)> {
    let rows: Vec<&Member> = state
        .members()
        .rows
        .iter()
        .filter(|row| row.voter)
        .collect();
    let place = |row: &&Member| state.places.get(row.name.as_str());
    let places: Option<Vec<&Place>> = rows.iter().map(place).collect();
    let local = rows.iter().position(|row| row.disk == state.hard.disk);
    Some((rows, places?, local))
}

/// Numbers of voters of each region and of each zone, as far as their places are known.
pub(super) fn group_sizes(state: &State) -> Vec<usize> {
    let mut counts: Sorted<(bool, Arc<str>), usize> = Sorted::default();
    for row in state.members().rows.iter().filter(|row| row.voter) {
        let Some(place) = state.places.get(row.name.as_str()) else {
            continue;
        };
        for group in [(true, &place.region), (false, &place.zone)] {
            let group = (group.0, Arc::clone(group.1));
            let count = counts.get(&group).copied().unwrap_or(0);
            counts.insert(group, count + 1);
        }
    }
    counts.rows().iter().map(|row| row.1).collect()
}

/// Tells the other control VMs where this one is: the leader, or while this replica has none, all.
pub(super) fn announce(step: &mut Step<'_>, others: &[SocketAddr]) {
    let settings = &step.state.settings;
    if settings.zone.is_empty() || step.now < step.state.next_located {
        return;
    }
    step.state.next_located = step.after(LOCATED_HEARTBEATS * settings.heartbeat_ms);
    let settings = &step.state.settings;
    let body = Body::Located {
        name: step.state.local.name.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    for to in others {
        step.send(*to, DiskId(0), body.clone());
    }
}

/// Records where the sender is.
pub(super) fn handle_located(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Located { name, region, zone } = &envelope.body else {
        return;
    };
    let place = Place {
        region: region.as_str().into(),
        zone: zone.as_str().into(),
    };
    step.state.places.insert(name.clone(), place);
}

/// Whether a hello that arrived at `at` still counts: settled replicas send one in ten heartbeats.
pub(super) fn is_recent(state: &State, at: Micros, now: Micros) -> bool {
    /// Heartbeat intervals within which two hellos of a replica arrive.
    const HELLO_HEARTBEATS: u64 = 25;
    now < at.plus_millis(HELLO_HEARTBEATS * state.settings.heartbeat_ms)
}
