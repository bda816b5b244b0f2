//! What other duties may use.

use crate::{
    clock::Micros,
    membership::{
        merge,
        messages::{Member, Members, Standing},
        state::State,
    },
};

/// What others may use of what is known.
pub(in crate::membership) fn view(state: &State, now: Micros) -> Members {
    let heard = |zone| {
        let summary = state
            .zones
            .binary_search_by_key(&zone, |zone| zone.summary.zone)
            .ok()
            .map(|at| &state.zones[at].summary);
        let limit = state.settings.zone_ms;
        summary.is_some_and(|summary| now < summary.made.plus_millis(limit))
    };
    let usable = |member: &Member| {
        member.standing <= Standing::Suspect
            && (member.zone == state.own.zone || heard(member.zone))
    };
    let mut rows: Vec<Member> = state
        .rows
        .values()
        .map(|row| &row.member)
        .filter(|member| usable(member))
        .cloned()
        .collect();
    if state.joined && state.own.standing == Standing::Alive {
        rows.push(state.own.clone());
    }
    rows.sort_by(|a, b| (a.zone, &a.name).cmp(&(b.zone, &b.name)));
    let mut zones: Vec<_> = state
        .zones
        .iter()
        .map(|zone| zone.summary.clone())
        .filter(|summary| summary.zone != state.own.zone)
        .collect();
    zones.push(merge::summarize(state, now));
    zones.sort_by_key(|summary| summary.zone);
    Members {
        rows,
        zones,
        joined: state.joined && (state.synced || state.rows.is_empty()),
    }
}
