//! Merges received updates of members and zones. Free of I/O and of clock reads.

use {
    super::{
        messages::{FreeSlots, Member, MemberStatus, ZoneSummary},
        state::{Row, State, ZoneRow},
    },
    crate::{clock::Micros, keys::MemberKey},
};

/// Applies an update of a member. Returns whether its status or incarnation changed, or, for an
/// update about the local VM, whether it was refuted.
pub(super) fn apply_member(state: &mut State, update: Member, now: Micros) -> bool {
    if update.name == state.local.name {
        return refute(state, &update);
    }
    let Some(key) = state.names.get(update.name.as_str()).copied() else {
        // An evicted member that was removed here must not be added again by an update that still
        // circulates.
        let is_usable = update.status <= MemberStatus::Suspect;
        if is_usable {
            insert(state, update, now);
        }
        return is_usable;
    };
    let row = &mut state.rows[key];
    let known = &row.member;
    let precedence = |member: &Member| (member.incarnation, member.status);
    if precedence(&update) < precedence(known) {
        return false;
    }
    if precedence(&update) == precedence(known) {
        if update.heartbeat > known.heartbeat {
            row.member = update;
            row.heartbeat_sends = 0;
        }
        return false;
    }
    let before = known.status;
    row.changed = now;
    row.status_sends = 0;
    row.heartbeat_sends = 0;
    let (name, after) = (update.name.clone(), update.status);
    row.member = update;
    record_status_change(state, name, Some(before), after);
    true
}

/// Marks the status of a member as disseminated, so that datagrams no longer carry it.
pub(super) fn suppress_dissemination(state: &mut State, name: &str) {
    let key = state.names.get(name).copied();
    if let Some(row) = key.and_then(|key| state.rows.get_mut(key)) {
        row.status_sends = u32::MAX;
    }
}

/// Sets the status of a member as observed by the local VM.
pub(super) fn set_status(state: &mut State, key: MemberKey, status: MemberStatus, now: Micros) {
    let Some(row) = state.rows.get(key) else {
        return;
    };
    let update = Member {
        status,
        ..row.member.clone()
    };
    apply_member(state, update, now);
}

fn insert(state: &mut State, update: Member, now: Micros) {
    let name = update.name.clone();
    record_status_change(state, name.clone(), None, update.status);
    let key = state.rows.insert(Row {
        member: update,
        changed: now,
        last_ping: Micros(0),
        status_sends: 0,
        heartbeat_sends: 0,
        last_sequence: 0,
        sequence_incarnation: 0,
    });
    state.names.insert(name, key);
}

fn record_status_change(
    state: &mut State,
    name: String,
    before: Option<MemberStatus>,
    after: MemberStatus,
) {
    let is_up = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspect);
    let was_up = before.is_some_and(is_up);
    if was_up == is_up(after) || (before.is_none() && !is_up(after)) {
        return;
    }
    state.status_changes.push((name, after));
}

/// Raises the incarnation of the local VM if an update about it takes precedence over its
/// current status. Returns whether it did.
fn refute(state: &mut State, update: &Member) -> bool {
    let local = &mut state.local;
    let precedence = |member: &Member| (member.incarnation, member.status);
    if precedence(update) <= precedence(local) {
        return false;
    }
    local.incarnation = update.incarnation.max(local.incarnation) + 1;
    local.heartbeat = 0;
    true
}

/// Applies a zone summary if it is newer than the known one.
pub(super) fn apply_zone(state: &mut State, update: ZoneSummary) {
    match state
        .zones
        .binary_search_by_key(&update.zone, |zone| zone.summary.zone)
    {
        Ok(at) => {
            let zone = &mut state.zones[at];
            if update.created > zone.summary.created {
                zone.summary = update;
                zone.sends = 0;
            }
        }
        Err(at) => state.zones.insert(
            at,
            ZoneRow {
                summary: update,
                sends: 0,
            },
        ),
    }
}

/// Computes the summary of the local zone.
pub(super) fn summarize(state: &State, now: Micros) -> ZoneSummary {
    let zone = state.local.zone;
    let peers = state
        .rows
        .values()
        .map(|row| &row.member)
        .filter(|member| member.zone == zone && member.status <= MemberStatus::Suspect);
    let mut summary = ZoneSummary {
        zone,
        created: now,
        free_slots: Vec::new(),
        version: 0,
    };
    for member in peers.chain([&state.local]) {
        summary.version = summary.version.max(member.version);
        for free in &member.free_slots {
            add_slots(&mut summary.free_slots, *free);
        }
    }
    summary
}

fn add_slots(sums: &mut Vec<FreeSlots>, more: FreeSlots) {
    match sums.binary_search_by_key(&more.service, |free| free.service) {
        Ok(at) => sums[at].slots = sums[at].slots.saturating_add(more.slots),
        Err(at) => sums.insert(at, more),
    }
}
