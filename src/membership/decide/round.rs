//! Rounds: expiries, pings, pages.

use {
    super::own,
    crate::{
        clock::Micros,
        keys::MemberKey,
        membership::{
            merge,
            messages::{Kind, Outgoing, Standing},
            select,
            state::{Probe, State},
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
};

/// Rounds between pages when there is no need to catch up.
const PAGE_ROUNDS: u64 = 4;
/// Rounds between pings of seeds and evicted members.
const LOST_ROUNDS: u64 = 4;
/// Rounds in the time of one while this VM joins.
const JOIN_SPEED: u64 = 8;

/// One round, when it is due: expiries, pings, a page.
pub(in crate::membership) fn tick(state: &mut State, now: Micros, random: u64) -> Vec<Outgoing> {
    if now < state.due {
        return Vec::new();
    }
    let mut random = SmallRng::seed_from_u64(random);
    if own::is_lapsed(state, now) {
        own::rejoin(state, now);
    }
    state.last = now;
    state.due = now.plus_millis(round_ms(state));
    state.round += 1;
    state.own.beat += 1;
    own::go_alone(state, now);
    expire(state, now);
    let mut out = follow_up(state, now, &mut random);
    for key in select::zone_targets(state, &mut random) {
        out.push(probe(state, key, now));
    }
    if let Some(to) = select::far_target(state, &mut random) {
        out.push(select::datagram(state, to, Kind::Ping, now));
    }
    if !state.joined || state.round.is_multiple_of(LOST_ROUNDS) {
        let lost = select::lost_target(state, &mut random);
        out.extend(lost.map(|to| select::datagram(state, to, Kind::Ping, now)));
    }
    out.extend(next_page(state, &mut random));
    out
}

/// Rounds are shorter while this VM joins.
fn round_ms(state: &State) -> u64 {
    let whole = state.settings.round_ms;
    if own::serves(state) {
        whole
    } else {
        whole.div_ceil(JOIN_SPEED)
    }
}

fn expire(state: &mut State, now: Micros) {
    let settings = &state.settings;
    let mut late = Vec::new();
    let mut old = Vec::new();
    for (key, row) in &state.rows {
        let limit = match row.member.standing {
            Standing::Alive => continue,
            Standing::Suspect => settings.suspect_ms,
            Standing::Leaving | Standing::Dead => settings.forget_ms,
        };
        if now < row.changed.plus_millis(limit) {
            continue;
        }
        match row.member.standing {
            Standing::Suspect if row.member.zone == state.own.zone => late.push(key),
            Standing::Suspect => {}
            _ => old.push(key),
        }
    }
    for key in late {
        merge::judge(state, key, Standing::Dead, now);
    }
    for key in old {
        if let Some(row) = state.rows.remove(key) {
            state.names.remove(row.member.name.as_str());
        }
    }
    let oldest = state.due;
    let kept = state.settings.round_ms * 4;
    state
        .errands
        .retain(|errand| oldest < errand.sent.plus_millis(kept));
}

/// Pings that were not answered: others try first, then the member is suspect.
fn follow_up(state: &mut State, now: Micros, random: &mut SmallRng) -> Vec<Outgoing> {
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
        for to in select::helpers(state, probe.target, random) {
            let kind = Kind::Relay {
                target: target.clone(),
                probe: probe.sequence,
            };
            out.push(select::datagram(state, to, kind, now));
        }
        state.probes.push(Probe {
            relayed: true,
            ..probe
        });
    }
    out
}

fn suspect(state: &mut State, key: MemberKey, now: Micros) {
    let standing = state.rows[key].member.standing;
    match standing {
        Standing::Alive => merge::judge(state, key, Standing::Suspect, now),
        // It has ended, as it said that it would.
        Standing::Leaving => merge::judge(state, key, Standing::Dead, now),
        Standing::Suspect | Standing::Dead => {}
    }
}

fn probe(state: &mut State, key: MemberKey, now: Micros) -> Outgoing {
    let row = &mut state.rows[key];
    row.probed = now;
    let (to, incarnation) = (row.member.members, row.member.incarnation);
    let out = select::datagram(state, to, Kind::Ping, now);
    let open = state.probes.iter().any(|probe| probe.target == key);
    // While this VM joins, its rounds are too short to judge others by.
    if !open && own::serves(state) {
        state.probes.push(Probe {
            target: key,
            incarnation,
            sequence: out.datagram.sequence,
            relayed: false,
        });
    }
    out
}

fn next_page(state: &mut State, random: &mut SmallRng) -> Option<Outgoing> {
    if state.synced && !state.round.is_multiple_of(PAGE_ROUNDS) {
        return None;
    }
    let after = state.page.clone();
    let source = select::any_target(state, random)?;
    Some(select::plain(
        state,
        source,
        Kind::Page(after),
        Vec::new(),
        Vec::new(),
    ))
}

/// Marks this VM as leaving, and tells as many others as one round would.
pub(in crate::membership) fn leave(state: &mut State, now: Micros, random: u64) -> Vec<Outgoing> {
    let mut random = SmallRng::seed_from_u64(random);
    state.own.standing = Standing::Leaving;
    state.own.beat += 1;
    let mut out = Vec::new();
    for key in select::zone_targets(state, &mut random) {
        out.push(probe(state, key, now));
    }
    if let Some(to) = select::far_target(state, &mut random) {
        out.push(select::datagram(state, to, Kind::Ping, now));
    }
    out
}
