//! Chooses whom to ping and which news a datagram carries. Without I/O or clock.

use {
    super::{
        merge,
        messages::{Datagram, Kind, Member, Outgoing, Standing, Summary},
        state::{Row, State},
    },
    crate::{clock::Micros, keys::MemberKey},
    rand::{Rng, rngs::SmallRng, seq::IteratorRandom},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Changed standings that one datagram carries.
const CHANGES: usize = 6;
/// Fresh counts of free slots that one datagram carries.
const COUNTS: usize = 3;
/// Summaries of zones that one datagram carries.
const ZONES: usize = 8;
/// Members that one page carries.
pub(super) const PAGE: usize = 12;

/// Makes a datagram with the most useful news for the receiver.
pub(super) fn datagram(state: &mut State, to: SocketAddr, kind: Kind, now: Micros) -> Outgoing {
    let mut members = owed(state, to);
    members.extend(changes(state, to));
    members.extend(counts(state, to));
    let zones = zones(state, now);
    plain(state, to, kind, members, zones)
}

/// Makes a datagram with just these news.
pub(super) fn plain(
    state: &mut State,
    to: SocketAddr,
    kind: Kind,
    members: Vec<Member>,
    zones: Vec<Summary>,
) -> Outgoing {
    state.sequence += 1;
    let datagram = Datagram {
        sequence: state.sequence,
        kind,
        from: state.own.clone(),
        members,
        zones,
    };
    Outgoing { to, datagram }
}

/// What the receiver must learn of itself, so that it can refute.
fn owed(state: &State, to: SocketAddr) -> Vec<Member> {
    state
        .rows
        .values()
        .map(|row| &row.member)
        .filter(|member| member.members == to && is_doubted(member))
        .cloned()
        .collect()
}

fn is_doubted(member: &Member) -> bool {
    matches!(member.standing, Standing::Suspect | Standing::Dead)
}

/// Standings that have not been told often enough to reach everyone, the least told first.
fn changes(state: &mut State, to: SocketAddr) -> Vec<Member> {
    let often = 4 * (state.rows.len() + 2).ilog2();
    let hot = |row: &Row| row.told < often && row.member.members != to;
    take(state, hot, |row| &mut row.told, CHANGES)
}

/// Counts of zone peers, the least shown first.
fn counts(state: &mut State, to: SocketAddr) -> Vec<Member> {
    let zone = state.own.zone;
    let fresh = |row: &Row| {
        row.member.zone == zone
            && row.member.standing == Standing::Alive
            && row.shown < 2
            && row.member.members != to
    };
    take(state, fresh, |row| &mut row.shown, COUNTS)
}

fn take(
    state: &mut State,
    mut wanted: impl FnMut(&Row) -> bool,
    uses: impl Fn(&mut Row) -> &mut u32,
    most: usize,
) -> Vec<Member> {
    let wanted = state.rows.values_mut().filter(|row| wanted(row));
    let mut rows: Vec<(u32, &mut Row)> = wanted.map(|row| (*uses(row), row)).collect();
    rows.sort_by_key(|(count, row)| (*count, Reverse(row.changed)));
    rows.truncate(most);
    let tell = |(_, row): (u32, &mut Row)| {
        *uses(row) += 1;
        row.member.clone()
    };
    rows.into_iter().map(tell).collect()
}

/// The own zone's summary and the least told ones of others.
fn zones(state: &mut State, now: Micros) -> Vec<Summary> {
    let mut chosen = vec![merge::summarize(state, now)];
    let own = state.own.zone;
    let mut others: Vec<_> = state
        .zones
        .iter_mut()
        .filter(|zone| zone.summary.zone != own)
        .collect();
    others.sort_by_key(|zone| (zone.told, Reverse(zone.summary.made)));
    others.truncate(ZONES - 1);
    for zone in others {
        zone.told += 1;
        chosen.push(zone.summary.clone());
    }
    chosen
}

/// The zone peers whose last ping is longest ago.
pub(super) fn zone_targets(state: &State, random: &mut SmallRng) -> Vec<MemberKey> {
    let zone = state.own.zone;
    let mut peers: Vec<_> = state
        .present()
        .filter(|(_, row)| row.member.zone == zone)
        .map(|(key, row)| (row.probed, random.random::<u32>(), key))
        .collect();
    peers.sort_unstable();
    peers.truncate(state.settings.fan);
    peers.into_iter().map(|(_, _, key)| key).collect()
}

/// Zone peers that may ping `target` in this VM's place.
pub(super) fn helpers(state: &State, target: MemberKey, random: &mut SmallRng) -> Vec<SocketAddr> {
    let zone = state.own.zone;
    state
        .present()
        .filter(|(key, row)| *key != target && row.member.zone == zone)
        .map(|(_, row)| row.member.members)
        .choose_multiple(random, state.settings.fan)
}

/// A member of another zone: any zone first, so that small zones are not left out.
pub(super) fn far_target(state: &State, random: &mut SmallRng) -> Option<SocketAddr> {
    let mut zones: Vec<_> = state
        .present()
        .map(|(_, row)| row.member.zone)
        .filter(|zone| *zone != state.own.zone)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let zone = zones.into_iter().choose(random)?;
    let members = state.present().filter(|(_, row)| row.member.zone == zone);
    members.map(|(_, row)| row.member.members).choose(random)
}

/// A seed or an evicted member, so that a healed network is found again.
pub(super) fn lost_target(state: &State, random: &mut SmallRng) -> Option<SocketAddr> {
    let dead = state
        .rows
        .values()
        .filter(|row| row.member.standing == Standing::Dead)
        .map(|row| row.member.members);
    let seeds = state.settings.seeds.iter().copied();
    dead.chain(seeds)
        .filter(|address| *address != state.own.members)
        .choose(random)
}

/// Any other member, or a seed while none is known.
pub(super) fn any_target(state: &State, random: &mut SmallRng) -> Option<SocketAddr> {
    let known = state.present().map(|(_, row)| row.member.members);
    known.choose(random).or_else(|| lost_target(state, random))
}

/// The members whose names follow `after`, and the name to go on from.
pub(super) fn page(state: &State, after: &str) -> (Vec<Member>, String) {
    let rows = state.names.rows();
    let start = rows.partition_point(|(name, _)| name.as_str() <= after);
    let end = (start + PAGE).min(rows.len());
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
