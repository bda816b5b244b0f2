//! View of the fleet for other duties.

use crate::{
    clock::Micros,
    membership::{
        merge,
        messages::{Member, MemberStatus, Members},
        state::State,
    },
};

/// Returns the usable members and the zone summaries. Members of a remote zone are usable only if
/// the summary of that zone is recent.
pub(in crate::membership) fn view(state: &State, now: Micros) -> Members {
    let is_recent = |zone| {
        let summary = state
            .zones
            .binary_search_by_key(&zone, |zone| zone.summary.zone)
            .ok()
            .map(|at| &state.zones[at].summary);
        let limit = state.settings.zone_ms;
        summary.is_some_and(|summary| now < summary.created.plus_millis(limit))
    };
    let is_usable = |member: &Member| {
        member.status <= MemberStatus::Suspect
            && (member.zone == state.local.zone || is_recent(member.zone))
    };
    let mut rows: Vec<Member> = state
        .rows
        .values()
        .map(|row| &row.member)
        .filter(|member| is_usable(member))
        .cloned()
        .collect();
    if state.joined && state.local.status == MemberStatus::Alive {
        rows.push(state.local.clone());
    }
    rows.sort_by(|a, b| (a.zone, &a.name).cmp(&(b.zone, &b.name)));
    let mut zones: Vec<_> = state
        .zones
        .iter()
        .map(|zone| zone.summary.clone())
        .filter(|summary| summary.zone != state.local.zone)
        .collect();
    zones.push(merge::summarize(state, now));
    zones.sort_by_key(|summary| summary.zone);
    Members {
        rows,
        zones,
        joined: state.joined && (state.synced || state.rows.is_empty()),
    }
}
