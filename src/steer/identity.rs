//! Identity of the callers of requests: at admission, and whenever workspaces change.

use {
    super::{
        decide::{self, MAX_RETRY_MS, jittered_ms, key_bits},
        state::{Effect, InFlight, State},
    },
    crate::{
        call::{Ran, Reason, Refusal},
        catalog::Route,
        clock::Micros,
        fairness,
        keys::WorkspaceKey,
        workspaces::{self, Credential},
    },
    std::sync::Arc,
};

/// Identifies the workspace of a request, and returns the rank that applies to it: the workspace's if it has one, otherwise
/// the route's.
///
/// # Errors
/// The caller needs a credential and has none that is known.
pub(super) fn identify(
    state: &State,
    route: &Route,
    credential: Credential,
    random: u64,
) -> Result<(Option<WorkspaceKey>, u32), Refusal> {
    let workspace = workspaces::identify(
        &state.workspaces,
        route.public,
        credential,
        state.is_control_reachable,
    );
    let workspace = workspace.map_err(|reason| Refusal {
        retry_ms: jittered_ms(MAX_RETRY_MS, random),
        ..Refusal::not_run(reason)
    })?;
    let row = workspace.and_then(|key| state.workspaces.get(key));
    let rank = row.and_then(|row| row.rank).unwrap_or(route.rank);
    Ok((workspace, rank))
}

/// Reason why a request that was admitted may not be sent any more: its credential no longer identifies the same
/// workspace. A credential that is valid for another workspace is not unauthorized: its caller may retry as that workspace.
pub(super) fn change(state: &State, in_flight: &InFlight) -> Option<Reason> {
    let identity = workspaces::identify(
        &state.workspaces,
        in_flight.route.public,
        in_flight.credential,
        state.is_control_reachable,
    );
    match identity {
        Ok(workspace) if workspace == in_flight.workspace => None,
        Ok(_) => Some(Reason::IdentityUnknown),
        Err(reason) => Some(reason),
    }
}

/// Refuses the waiting requests whose credential no longer identifies the same workspace, and takes back the attempts of
/// others that have not been sent yet.
pub(super) fn refuse_changed(state: &mut State, random: u64, now: Micros) {
    let mut changed = Vec::new();
    for (key, in_flight) in &state.in_flight {
        if let Some(reason) = change(state, in_flight) {
            changed.push((key, reason, in_flight.upstream.is_some()));
        }
    }
    for (key, reason, has_attempt) in changed {
        if has_attempt {
            state.effects.push(Effect::Revoke(key));
            continue;
        }
        let service = state.in_flight.get(key).map(|row| Arc::clone(&row.service));
        let pool = service.and_then(|service| state.pools.get_mut(&service));
        if let Some(pool) = pool {
            fairness::withdraw(&mut pool.waiting, key);
        }
        decide::refuse(state, key, reason, Ran::No, random ^ key_bits(key), now);
    }
}
