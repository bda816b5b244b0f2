//! Selects ping targets and the updates that a datagram carries. Free of I/O and of clock reads.

use {
    super::{
        merge,
        messages::{Datagram, Kind, Member, MemberStatus, Outgoing, ZoneSummary},
        state::{Row, State},
    },
    crate::{clock::Micros, keys::MemberKey},
    rand::{Rng, rngs::SmallRng, seq::IteratorRandom},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Maximum number of changed statuses in a datagram.
const MAX_CHANGED_MEMBERS: usize = 6;
/// Maximum number of updated free slot counts in a datagram.
const MAX_SLOT_UPDATES: usize = 2;
/// Maximum number of zone summaries in a datagram.
const MAX_ZONE_SUMMARIES: usize = 4;
/// Maximum number of members in a page.
pub(super) const PAGE_SIZE: usize = 12;

/// Creates a datagram with the updates that are most useful to the receiver.
pub(super) fn gossip_datagram(
    state: &mut State,
    to: SocketAddr,
    kind: Kind,
    now: Micros,
) -> Outgoing {
    let mut members = refutable_status(state, to);
    members.extend(changed_members(state, to));
    members.extend(slot_updates(state, to));
    let zones = zone_summaries(state, now);
    bare_datagram(state, to, kind, members, zones)
}

/// Creates a datagram with only the given updates.
pub(super) fn bare_datagram(
    state: &mut State,
    to: SocketAddr,
    kind: Kind,
    members: Vec<Member>,
    zones: Vec<ZoneSummary>,
) -> Outgoing {
    state.sequence += 1;
    let datagram = Datagram {
        sequence: state.sequence,
        kind,
        from: state.local.clone(),
        members,
        zones,
    };
    Outgoing { to, datagram }
}

/// Returns the receiver's own row if it is suspect or dead, so that the receiver can refute it.
fn refutable_status(state: &State, to: SocketAddr) -> Vec<Member> {
    state
        .rows
        .values()
        .map(|row| &row.member)
        .filter(|member| member.members == to && is_suspect_or_dead(member))
        .cloned()
        .collect()
}

fn is_suspect_or_dead(member: &Member) -> bool {
    matches!(member.status, MemberStatus::Suspect | MemberStatus::Dead)
}

/// Returns members whose status has not been sent often enough to reach all members, least sent
/// first. The number of sends grows with the logarithm of the member count.
fn changed_members(state: &mut State, to: SocketAddr) -> Vec<Member> {
    let max_sends = 4 * (state.rows.len() + 2).ilog2();
    let is_pending = |row: &Row| row.status_sends < max_sends && row.member.members != to;
    select_least_sent(
        state,
        is_pending,
        |row| &mut row.status_sends,
        MAX_CHANGED_MEMBERS,
    )
}

/// Returns zone peers whose free slot counts were updated, least sent first.
fn slot_updates(state: &mut State, to: SocketAddr) -> Vec<Member> {
    let zone = state.local.zone;
    let is_pending = |row: &Row| {
        row.member.zone == zone
            && row.member.status == MemberStatus::Alive
            && row.heartbeat_sends < 2
            && row.member.members != to
    };
    select_least_sent(
        state,
        is_pending,
        |row| &mut row.heartbeat_sends,
        MAX_SLOT_UPDATES,
    )
}

fn select_least_sent(
    state: &mut State,
    mut is_wanted: impl FnMut(&Row) -> bool,
    sends: impl Fn(&mut Row) -> &mut u32,
    limit: usize,
) -> Vec<Member> {
    let matching = state.rows.values_mut().filter(|row| is_wanted(row));
    let mut rows: Vec<(u32, &mut Row)> = matching.map(|row| (*sends(row), row)).collect();
    rows.sort_by_key(|(count, row)| (*count, Reverse(row.changed)));
    rows.truncate(limit);
    let record_send = |(_, row): (u32, &mut Row)| {
        *sends(row) += 1;
        row.member.clone()
    };
    rows.into_iter().map(record_send).collect()
}

/// Returns the summary of the local zone and the least sent summaries of other zones.
fn zone_summaries(state: &mut State, now: Micros) -> Vec<ZoneSummary> {
    let mut chosen = vec![merge::summarize(state, now)];
    let local_zone = state.local.zone;
    let mut others: Vec<_> = state
        .zones
        .iter_mut()
        .filter(|zone| zone.summary.zone != local_zone)
        .collect();
    others.sort_by_key(|zone| (zone.sends, Reverse(zone.summary.created)));
    others.truncate(MAX_ZONE_SUMMARIES - 1);
    for zone in others {
        zone.sends += 1;
        chosen.push(zone.summary.clone());
    }
    chosen
}

/// Returns the zone peers that were pinged least recently, in random order among equals.
pub(super) fn zone_ping_targets(state: &State, random: &mut SmallRng) -> Vec<MemberKey> {
    let zone = state.local.zone;
    let mut peers: Vec<_> = state
        .pingable()
        .filter(|(_, row)| row.member.zone == zone)
        .map(|(key, row)| (row.last_ping, random.random::<u32>(), key))
        .collect();
    peers.sort_unstable();
    peers.truncate(state.settings.fan);
    peers.into_iter().map(|(_, _, key)| key).collect()
}

/// Returns random zone peers that ping `target` on behalf of the local VM.
pub(super) fn ping_relays(
    state: &State,
    target: MemberKey,
    random: &mut SmallRng,
) -> Vec<SocketAddr> {
    let zone = state.local.zone;
    state
        .pingable()
        .filter(|(key, row)| *key != target && row.member.zone == zone)
        .map(|(_, row)| row.member.members)
        .choose_multiple(random, state.settings.fan)
}

/// Returns a random member of another zone. The zone is selected first, so that small zones are
/// selected as often as large ones.
pub(super) fn remote_zone_target(state: &State, random: &mut SmallRng) -> Option<SocketAddr> {
    let mut zones: Vec<_> = state
        .pingable()
        .map(|(_, row)| row.member.zone)
        .filter(|zone| *zone != state.local.zone)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let zone = zones.into_iter().choose(random)?;
    let members = state.pingable().filter(|(_, row)| row.member.zone == zone);
    members.map(|(_, row)| row.member.members).choose(random)
}

/// Returns a random seed or evicted member, so that the members find each other again after a
/// network partition.
pub(super) fn recovery_target(state: &State, random: &mut SmallRng) -> Option<SocketAddr> {
    let dead = state
        .rows
        .values()
        .filter(|row| row.member.status == MemberStatus::Dead)
        .map(|row| row.member.members);
    let seeds = state.settings.seeds.iter().copied();
    dead.chain(seeds)
        .filter(|address| *address != state.local.members)
        .choose(random)
}

/// Returns a random member to request a page from, or a recovery target while no member is known.
pub(super) fn page_source(state: &State, random: &mut SmallRng) -> Option<SocketAddr> {
    let known = state.pingable().map(|(_, row)| row.member.members);
    known
        .choose(random)
        .or_else(|| recovery_target(state, random))
}

/// Returns the members whose names follow `after`, and the name after which the next page starts;
/// empty on the last page.
pub(super) fn page(state: &State, after: &str) -> (Vec<Member>, String) {
    let rows = state.names.rows();
    let start = rows.partition_point(|(name, _)| name.as_str() <= after);
    let end = (start + PAGE_SIZE).min(rows.len());
    let members = rows[start..end]
        .iter()
        .filter_map(|(_, key)| state.rows.get(*key))
        .map(|row| row.member.clone())
        .collect();
    let next = if end == rows.len() {
        String::new()
    } else {
        rows[end - 1].0.clone()
    };
    (members, next)
}
