//! Takes in news of members and zones. Without I/O or clock.

use {
    super::{
        messages::{Free, Member, Standing, Summary},
        state::{Row, State, Zone},
    },
    crate::{clock::Micros, keys::MemberKey},
};

/// Takes in what is said of a member, and answers whether its standing changed.
pub(super) fn absorb(state: &mut State, said: Member, now: Micros) -> bool {
    if said.name == state.own.name {
        return refute(state, &said);
    }
    let Some(key) = state.names.get(said.name.as_str()).copied() else {
        // Evicted members that were forgotten here must not live on by being told about.
        let usable = said.standing <= Standing::Suspect;
        if usable {
            insert(state, said, now);
        }
        return usable;
    };
    let row = &mut state.rows[key];
    let known = &row.member;
    let rank = |member: &Member| (member.incarnation, member.standing);
    if rank(&said) < rank(known) {
        return false;
    }
    if rank(&said) == rank(known) {
        if said.beat > known.beat {
            row.member = said;
            row.shown = 0;
        }
        return false;
    }
    let before = known.standing;
    row.changed = now;
    row.told = 0;
    row.shown = 0;
    let (name, after) = (said.name.clone(), said.standing);
    row.member = said;
    note(state, name, Some(before), after);
    true
}

/// Takes what is known of a member as told to everyone.
pub(super) fn hush(state: &mut State, name: &str) {
    let key = state.names.get(name).copied();
    if let Some(row) = key.and_then(|key| state.rows.get_mut(key)) {
        row.told = u32::MAX;
    }
}

/// Sets a member's standing as this VM sees it.
pub(super) fn judge(state: &mut State, key: MemberKey, standing: Standing, now: Micros) {
    let Some(row) = state.rows.get(key) else {
        return;
    };
    let said = Member {
        standing,
        ..row.member.clone()
    };
    absorb(state, said, now);
}

fn insert(state: &mut State, said: Member, now: Micros) {
    let name = said.name.clone();
    note(state, name.clone(), None, said.standing);
    let key = state.rows.insert(Row {
        member: said,
        changed: now,
        probed: Micros(0),
        told: 0,
        shown: 0,
        sequence: 0,
        epoch: 0,
    });
    state.names.insert(name, key);
}

fn note(state: &mut State, name: String, before: Option<Standing>, after: Standing) {
    let up = |standing| matches!(standing, Standing::Alive | Standing::Suspect);
    let was_up = before.is_some_and(up);
    if was_up == up(after) || (before.is_none() && !up(after)) {
        return;
    }
    state.news.push((name, after));
}

/// Answers a claim about this VM with a higher incarnation, unless it is true.
fn refute(state: &mut State, said: &Member) -> bool {
    let own = &mut state.own;
    let rank = |member: &Member| (member.incarnation, member.standing);
    if rank(said) <= rank(own) {
        return false;
    }
    own.incarnation = said.incarnation.max(own.incarnation) + 1;
    own.beat = 0;
    true
}

/// Takes in what is said of a zone, if it is newer than what is known.
pub(super) fn absorb_zone(state: &mut State, said: Summary) {
    match state
        .zones
        .binary_search_by_key(&said.zone, |zone| zone.summary.zone)
    {
        Ok(at) => {
            let zone = &mut state.zones[at];
            if said.made > zone.summary.made {
                zone.summary = said;
                zone.told = 0;
            }
        }
        Err(at) => state.zones.insert(
            at,
            Zone {
                summary: said,
                told: 0,
            },
        ),
    }
}

/// The summary of this VM's own zone.
pub(super) fn summarize(state: &State, now: Micros) -> Summary {
    let zone = state.own.zone;
    let peers = state
        .rows
        .values()
        .map(|row| &row.member)
        .filter(|member| member.zone == zone && member.standing <= Standing::Suspect);
    let mut summary = Summary {
        zone,
        made: now,
        free: Vec::new(),
        version: 0,
    };
    for member in peers.chain([&state.own]) {
        summary.version = summary.version.max(member.version);
        for free in &member.free {
            add(&mut summary.free, *free);
        }
    }
    summary
}

fn add(sums: &mut Vec<Free>, more: Free) {
    match sums.binary_search_by_key(&more.service, |free| free.service) {
        Ok(at) => sums[at].slots = sums[at].slots.saturating_add(more.slots),
        Err(at) => sums.insert(at, more),
    }
}
