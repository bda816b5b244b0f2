//! Status of the local VM: joining, lease expiry and readiness to serve.

use crate::{
    clock::Micros,
    membership::{
        messages::{FreeSlots, MemberStatus},
        state::State,
    },
};

/// Rounds of full length (`round_ms`) without any acknowledgement after which a joining VM starts
/// to serve alone.
const JOIN_ALONE_ROUNDS: u64 = 4;

/// Whether the local VM did not run a round for at least the duration of its lease.
pub(in crate::membership) fn is_lease_expired(state: &State, now: Micros) -> bool {
    now >= state.last_round.plus_millis(state.settings.lease_ms)
}

/// Whether the local VM may serve, which includes the time while it is leaving.
pub(in crate::membership) fn can_serve(state: &State) -> bool {
    state.joined && state.local.status != MemberStatus::Suspect
}

/// Restarts the join procedure after the lease expired: others may have evicted the local VM.
pub(super) fn rejoin(state: &mut State, now: Micros) {
    state.local.incarnation += 1;
    state.local.heartbeat = 0;
    state.local.status = state.local.status.max(MemberStatus::Suspect);
    state.joined = false;
    // The configuration may have changed in the meantime.
    state.config_ready = false;
    state.join_started = now;
    state.join_fence = state.sequence;
    state.page_cursor.clear();
    state.synced = false;
    // Unanswered pings are no evidence against the other members: the local VM was stopped.
    state.probes.clear();
    state.relayed_pings.clear();
}

/// Marks the local VM as joined. It becomes alive once it has a configuration to serve under.
pub(super) fn join(state: &mut State) {
    state.joined = true;
    if state.config_ready && state.local.status == MemberStatus::Suspect {
        state.local.incarnation += 1;
        state.local.heartbeat = 0;
        state.local.status = MemberStatus::Alive;
    }
}

/// Records the configuration version in force locally, which makes the local VM ready to serve.
pub(in crate::membership) fn set_version(state: &mut State, version: u64) {
    state.local.version = version;
    state.config_ready = true;
    if state.joined {
        join(state);
    }
}

/// Joins without an acknowledgement if there is no other VM, or none has responded in time.
pub(super) fn join_alone(state: &mut State, now: Micros) {
    let wait_ms = JOIN_ALONE_ROUNDS * state.settings.round_ms;
    let is_alone = state
        .settings
        .seeds
        .iter()
        .all(|seed| *seed == state.local.members)
        && state.rows.is_empty();
    if !state.joined && (is_alone || now >= state.join_started.plus_millis(wait_ms)) {
        join(state);
    }
}

/// Sets the free slots that the local VM reports.
pub(in crate::membership) fn set_free_slots(state: &mut State, free: Vec<FreeSlots>) {
    state.local.free_slots = free;
}
