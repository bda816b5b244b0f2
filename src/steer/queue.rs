//! The requests that wait for a service: who waits, who is refused, and who is sent next.

use {
    super::{
        bodies::{self, Scan},
        decide::{key_bits, refuse, send},
        pressure,
        state::{Effect, InFlight, State},
    },
    crate::{
        call::{Ran, Reason},
        clock::Micros,
        fairness::{self, Flow, Outcome},
        keys::{InFlightKey, WorkspaceKey},
    },
    std::sync::Arc,
};

/// Flow of a request. Without workspaces in the configuration there is only one, so that requests are sent by arrival.
pub(super) fn flow(state: &State, workspace: Option<WorkspaceKey>, route: &Arc<str>) -> Flow {
    match workspace {
        Some(workspace) => Flow::Workspace(workspace),
        None if state.workspaces.has_workspaces() => Flow::Route(Arc::clone(route)),
        None => Flow::All,
    }
}

/// Whether a request that is sent before this one already waits for the same service.
pub(super) fn has_waiting_ahead(state: &State, key: InFlightKey, now: Micros) -> bool {
    let Some(in_flight) = state.in_flight.get(key) else {
        return false;
    };
    let Some(pool) = state.pools.get(&in_flight.service) else {
        return false;
    };
    let first = pool.waiting.keys().next();
    if first.is_some_and(|first| bodies::is_held_back(state, first, now)) {
        return false;
    }
    let ahead = fairness::count_ahead(&pool.waiting, in_flight.rank, &in_flight.flow);
    let blocks = |other: &InFlight| other.flow == in_flight.flow || !is_confined(state, other);
    let mut ahead = pool.waiting.keys().take(ahead);
    ahead.any(|other| state.in_flight.get(other).is_some_and(blocks))
}

/// Whether a request may only be sent to some regions, so that others may find free slots while it does not. Without
/// workspaces in the configuration all requests count alike.
fn is_confined(state: &State, in_flight: &InFlight) -> bool {
    let workspace = in_flight
        .workspace
        .and_then(|key| state.workspaces.get(key));
    let has_homes = !in_flight.route.homes.is_empty()
        || workspace.is_some_and(|workspace| !workspace.homes.is_empty());
    in_flight.flow != Flow::All && has_homes
}

/// Records that a request was sent without waiting.
pub(super) fn record_direct(state: &mut State, key: InFlightKey) {
    if let Some(in_flight) = state.in_flight.get(key)
        && let Some(pool) = state.pools.get_mut(&in_flight.service)
    {
        fairness::record_sent(&mut pool.waiting, in_flight.rank, &in_flight.flow);
    }
}

/// Reason why a request cannot wait, if there is one.
pub(super) fn refusal_reason(state: &State, key: InFlightKey, now: Micros) -> Option<Reason> {
    let in_flight = state.in_flight.get(key)?;
    let Some(pool) = state.pools.get(&in_flight.service) else {
        return Some(Reason::NoUpstream);
    };
    let members = pool.keys().filter_map(|key| state.upstreams.get(*key));
    if !members.clone().any(|upstream| upstream.eligible) {
        return Some(Reason::NoUpstream);
    }
    let rest_end = pressure::rest_end(state, pool, in_flight, now);
    if rest_end.is_some_and(|end| end > in_flight.send_by) {
        return Some(Reason::NoSlot);
    }
    let waiting: usize = state
        .pools
        .rows()
        .iter()
        .map(|row| row.1.waiting.len())
        .sum();
    if waiting >= state.settings.max_waiting {
        return Some(Reason::Shed);
    }
    let ahead = fairness::count_ahead(&pool.waiting, in_flight.rank, &in_flight.flow);
    #[allow(
        clippy::cast_precision_loss,
        reason = "queue lengths are far below 2^53"
    )]
    let wait_s = ahead as f64 / pool.completions.read(now).max(1.0);
    (wait_s > in_flight.send_by.since(now).as_secs_f64()).then_some(Reason::NoSlot)
}

/// Refuses the last waiting request of the same service and rank if it is sent after this one: otherwise one flow could
/// fill the queue, and the requests of all others would be refused.
pub(super) fn make_room(state: &mut State, key: InFlightKey, random: u64, now: Micros) {
    let Some(in_flight) = state.in_flight.get(key) else {
        return;
    };
    let Some(pool) = state.pools.get_mut(&in_flight.service) else {
        return;
    };
    if let Some(last) = fairness::last_behind(&pool.waiting, in_flight.rank, &in_flight.flow) {
        fairness::withdraw(&mut pool.waiting, last);
        let random = random ^ key_bits(last);
        refuse(state, last, Reason::Shed, Ran::No, random, now);
    }
}

pub(super) fn enqueue(state: &mut State, key: InFlightKey) {
    let Some(row) = state.in_flight.get(key) else {
        return;
    };
    let Some(pool) = state.pools.get_mut(&row.service) else {
        return;
    };
    fairness::push(
        &mut pool.waiting,
        key,
        row.rank,
        row.flow.clone(),
        row.arrived,
    );
    state.effects.push(Effect::Queued);
}

/// Sends the requests that wait for a service as far as slots are free, and refuses those past their latest
/// time to send.
pub(super) fn send_waiting(state: &mut State, service: &Arc<str>, random: u64, now: Micros) {
    let mut waiting = match state.pools.get_mut(service) {
        Some(pool) if !pool.waiting.is_empty() => std::mem::take(&mut pool.waiting),
        _ => return,
    };
    let mut tries = Scan::default();
    // Flows of which a request that may only be sent to some regions found no free slot. Each costs one selection.
    let mut blocked: Vec<Flow> = Vec::new();
    fairness::scan(&mut waiting, |key| {
        let Some(in_flight) = state.in_flight.get(key) else {
            return Outcome::Ended;
        };
        if now >= in_flight.send_by {
            let random = random ^ key_bits(key);
            refuse(state, key, Reason::NoSlot, Ran::No, random, now);
            return Outcome::Ended;
        }
        if !tries.may_try(in_flight.body_bytes) || blocked.contains(&in_flight.flow) {
            return Outcome::Waits;
        }
        if send(state, key, now) {
            return Outcome::Sent;
        }
        match state.in_flight.get(key) {
            Some(row) if is_confined(state, row) => blocked.push(row.flow.clone()),
            _ => tries.record_unsent(state, key, now),
        }
        Outcome::Waits
    });
    if let Some(pool) = state.pools.get_mut(service) {
        pool.waiting = waiting;
    }
}

/// Whether any request waits, so that queues need scanning.
pub(super) fn has_waiting(state: &State) -> bool {
    state
        .pools
        .rows()
        .iter()
        .any(|row| !row.1.waiting.is_empty())
}

/// Removes a request whose caller disconnected while it waited.
pub(super) fn discard(state: &mut State, key: InFlightKey) {
    if let Some(in_flight) = state.in_flight.remove(key)
        && let Some(pool) = state.pools.get_mut(&in_flight.service)
    {
        fairness::withdraw(&mut pool.waiting, key);
    }
}
