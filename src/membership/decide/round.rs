//! Periodic rounds: expiry of members, pings and page requests.

use {
    super::local,
    crate::{
        clock::Micros,
        keys::MemberKey,
        membership::{
            merge,
            messages::{Kind, MemberStatus, Outgoing},
            select,
            state::{Probe, State},
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
};

/// Rounds between page requests once every page has been read.
const PAGE_INTERVAL_ROUNDS: u64 = 4;
/// Rounds between pings of a seed or an evicted member.
const RECOVERY_INTERVAL_ROUNDS: u64 = 4;
/// Factor by which rounds are shortened until the local VM may serve.
const JOIN_SPEEDUP: u64 = 8;

/// Runs a round if it is due: expires members, checks pending probes, pings, and requests a page.
/// Returns the datagrams to send.
pub(in crate::membership) fn tick(state: &mut State, now: Micros, random: u64) -> Vec<Outgoing> {
    if now < state.next_round {
        return Vec::new();
    }
    let mut random = SmallRng::seed_from_u64(random);
    if local::is_lease_expired(state, now) {
        local::rejoin(state, now);
    }
    state.last_round = now;
    state.next_round = now.plus_millis(round_ms(state));
    state.rounds += 1;
    state.local.heartbeat += 1;
    local::join_alone(state, now);
    expire(state, now);
    let mut out = check_probes(state, now, &mut random);
    for key in select::zone_ping_targets(state, &mut random) {
        out.push(send_probe(state, key, now));
    }
    if let Some(to) = select::remote_zone_target(state, &mut random) {
        out.push(select::gossip_datagram(state, to, Kind::Ping, now));
    }
    if !state.joined || state.rounds.is_multiple_of(RECOVERY_INTERVAL_ROUNDS) {
        let recovery = select::recovery_target(state, &mut random);
        out.extend(recovery.map(|to| select::gossip_datagram(state, to, Kind::Ping, now)));
    }
    out.extend(request_page(state, &mut random));
    out
}

/// Milliseconds until the next round; shorter until the local VM may serve.
fn round_ms(state: &State) -> u64 {
    let full_ms = state.settings.round_ms;
    if local::can_serve(state) {
        full_ms
    } else {
        full_ms.div_ceil(JOIN_SPEEDUP)
    }
}

fn expire(state: &mut State, now: Micros) {
    let settings = &state.settings;
    let mut evictable = Vec::new();
    let mut removable = Vec::new();
    for (key, row) in &state.rows {
        let limit = match row.member.status {
            MemberStatus::Alive => continue,
            MemberStatus::Suspect => settings.suspect_ms,
            MemberStatus::Leaving | MemberStatus::Dead => settings.forget_ms,
        };
        if now < row.changed.plus_millis(limit) {
            continue;
        }
        match row.member.status {
            MemberStatus::Suspect if row.member.zone == state.local.zone => evictable.push(key),
            MemberStatus::Suspect => {}
            _ => removable.push(key),
        }
    }
    for key in evictable {
        merge::set_status(state, key, MemberStatus::Dead, now);
    }
    for key in removable {
        if let Some(row) = state.rows.remove(key) {
            state.names.remove(row.member.name.as_str());
        }
    }
    let next_round = state.next_round;
    let retention_ms = state.settings.round_ms * 4;
    state
        .relayed_pings
        .retain(|ping| next_round < ping.sent.plus_millis(retention_ms));
}

/// Handles pings without a response: zone peers ping the member first, then it becomes suspect.
fn check_probes(state: &mut State, now: Micros, random: &mut SmallRng) -> Vec<Outgoing> {
    let mut out = Vec::new();
    for probe in std::mem::take(&mut state.probes) {
        let Some(row) = state.rows.get(probe.target) else {
            continue;
        };
        if row.member.incarnation != probe.incarnation {
            continue;
        }
        if probe.relayed {
            suspect(state, probe.target, now);
            continue;
        }
        let target = row.member.name.clone();
        for to in select::ping_relays(state, probe.target, random) {
            let kind = Kind::Relay {
                target: target.clone(),
                probe: probe.sequence,
            };
            out.push(select::gossip_datagram(state, to, kind, now));
        }
        state.probes.push(Probe {
            relayed: true,
            ..probe
        });
    }
    out
}

fn suspect(state: &mut State, key: MemberKey, now: Micros) {
    let status = state.rows[key].member.status;
    match status {
        MemberStatus::Alive => merge::set_status(state, key, MemberStatus::Suspect, now),
        // It announced that it was leaving and has now exited.
        MemberStatus::Leaving => merge::set_status(state, key, MemberStatus::Dead, now),
        MemberStatus::Suspect | MemberStatus::Dead => {}
    }
}

fn send_probe(state: &mut State, key: MemberKey, now: Micros) -> Outgoing {
    let row = &mut state.rows[key];
    row.last_ping = now;
    let (to, incarnation) = (row.member.members, row.member.incarnation);
    let out = select::gossip_datagram(state, to, Kind::Ping, now);
    let is_pending = state.probes.iter().any(|probe| probe.target == key);
    // While the local VM joins, its rounds are too short to tell a slow response from none.
    if !is_pending && local::can_serve(state) {
        state.probes.push(Probe {
            target: key,
            incarnation,
            sequence: out.datagram.sequence,
            relayed: false,
        });
    }
    out
}

fn request_page(state: &mut State, random: &mut SmallRng) -> Option<Outgoing> {
    if state.synced && !state.rounds.is_multiple_of(PAGE_INTERVAL_ROUNDS) {
        return None;
    }
    let after = state.page_cursor.clone();
    let source = select::page_source(state, random)?;
    Some(select::bare_datagram(
        state,
        source,
        Kind::Page(after),
        Vec::new(),
        Vec::new(),
    ))
}

/// Marks the local VM as leaving and notifies as many members as one round pings. Returns the
/// datagrams to send.
pub(in crate::membership) fn leave(state: &mut State, now: Micros, random: u64) -> Vec<Outgoing> {
    let mut random = SmallRng::seed_from_u64(random);
    state.local.status = MemberStatus::Leaving;
    state.local.heartbeat += 1;
    let mut out = Vec::new();
    for key in select::zone_ping_targets(state, &mut random) {
        out.push(send_probe(state, key, now));
    }
    if let Some(to) = select::remote_zone_target(state, &mut random) {
        out.push(select::gossip_datagram(state, to, Kind::Ping, now));
    }
    out
}
