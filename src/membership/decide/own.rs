//! The standing of this VM itself.

use crate::{
    clock::Micros,
    membership::{
        messages::{Free, Standing},
        state::State,
    },
};

/// Rounds after which a VM that nobody answers goes on alone.
const ALONE_ROUNDS: u64 = 4;

/// Whether this VM did not run for longer than its lease.
pub(in crate::membership) fn is_lapsed(state: &State, now: Micros) -> bool {
    now >= state.last.plus_millis(state.settings.lease_ms)
}

/// Whether this VM may serve, also while it is leaving.
pub(in crate::membership) fn serves(state: &State) -> bool {
    state.joined && state.own.standing != Standing::Suspect
}

/// The VM did not run for longer than its lease: others may have evicted it.
pub(super) fn rejoin(state: &mut State, now: Micros) {
    state.own.incarnation += 1;
    state.own.beat = 0;
    state.own.standing = state.own.standing.max(Standing::Suspect);
    state.joined = false;
    state.since = now;
    state.fence = state.sequence;
    state.page.clear();
    state.synced = false;
    // What was in flight says nothing of others: it was this VM that stood still.
    state.probes.clear();
    state.errands.clear();
}

/// Others know this VM again; it is alive once it has a configuration to serve under.
pub(super) fn join(state: &mut State) {
    state.joined = true;
    if state.ready && state.own.standing == Standing::Suspect {
        state.own.incarnation += 1;
        state.own.beat = 0;
        state.own.standing = Standing::Alive;
    }
}

/// Notes the version in force here: there is a configuration to serve under.
pub(in crate::membership) fn set_version(state: &mut State, version: u64) {
    state.own.version = version;
    state.ready = true;
    if state.joined {
        join(state);
    }
}

/// A VM that is cut off from all others goes on with what it has.
pub(super) fn go_alone(state: &mut State, now: Micros) {
    let wait = ALONE_ROUNDS * state.settings.round_ms;
    let alone = state
        .settings
        .seeds
        .iter()
        .all(|seed| *seed == state.own.members)
        && state.rows.is_empty();
    if !state.joined && (alone || now >= state.since.plus_millis(wait)) {
        join(state);
    }
}

/// Takes in the counts of this VM.
pub(in crate::membership) fn load(state: &mut State, free: Vec<Free>) {
    state.own.free = free;
}
