//! Limits of workspaces: a request of a workspace with a limit needs a token before it is sent or queued.

use {
    super::{
        decide::{self, jittered_ms},
        state::{Effect, InFlight, State},
    },
    crate::{
        call::{Reason, Refusal},
        clock::Micros,
        keys::{InFlightKey, WorkspaceKey},
        shares::{LeaseResponse, Taken, Token, hold::WAIT_MS},
    },
};

/// Divisor of the latency objective that gives the longest wait for a token: the rest is left for the work.
const WAIT_DIVISOR: u64 = 2;

/// Maximum delay after which a caller is asked to retry, in milliseconds: a limit may be raised.
const MAX_RETRY_MS: u64 = 60_000;

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(super) struct Awaiting {
    in_flight: InFlightKey,
    workspace: WorkspaceKey,
    until: Micros,
}

/// Takes a token for a request that was admitted, and continues with it. Without a token it waits for the leader's
/// answer, or is refused if the leader has denied one.
pub(super) fn start(state: &mut State, key: InFlightKey, random: u64, now: Micros) {
    let Some(in_flight) = state.in_flight.get(key) else {
        return;
    };
    let workspace = in_flight.workspace;
    let row = workspace.and_then(|workspace| Some((workspace, state.workspaces.get(workspace)?)));
    let Some((workspace, row)) = row.filter(|(_, row)| row.rate > 0) else {
        return decide::place_or_enqueue(state, key, random, now);
    };
    match state.hold.take(workspace, &row.name, now) {
        Taken::Token(token) => proceed(state, key, token, random, now),
        Taken::Wait => {
            let wait_ms = WAIT_MS.min(in_flight.route.objective_ms / WAIT_DIVISOR);
            state.awaiting.push(Awaiting {
                in_flight: key,
                workspace,
                until: now.plus_millis(wait_ms).min(in_flight.deadline),
            });
        }
        Taken::Denied { retry_ms } => refuse(state, key, retry_ms, random),
    }
}

fn proceed(state: &mut State, key: InFlightKey, token: Token, random: u64, now: Micros) {
    if let Some(in_flight) = state.in_flight.get_mut(key) {
        in_flight.token = Some(token);
    }
    decide::place_or_enqueue(state, key, random, now);
}

/// Refuses a request without a token: over the limit if the leader permits one after `retry_ms`, otherwise as the
/// leader did not answer.
fn refuse(state: &mut State, key: InFlightKey, retry_ms: u64, random: u64) {
    if state.in_flight.remove(key).is_none() {
        return;
    }
    let reason = if retry_ms > 0 {
        Reason::OverLimit
    } else {
        Reason::LimitUnknown
    };
    #[allow(clippy::cast_precision_loss, reason = "at most MAX_RETRY_MS")]
    let base_ms = retry_ms.clamp(WAIT_MS, MAX_RETRY_MS) as f64;
    let refusal = Refusal {
        retry_ms: jittered_ms(base_ms, random),
        ..Refusal::not_run(reason)
    };
    state.effects.push(Effect::Refuse(key, refusal));
}

/// Applies the answer of the leader, `None` if there was none.
pub(super) fn apply_answer(
    state: &mut State,
    answer: Option<&LeaseResponse>,
    random: u64,
    now: Micros,
) {
    match answer {
        Some(answer) => state.hold.answered(answer, now),
        None => state.hold.failed(now),
    }
    tick(state, random, now);
}

/// Continues with the requests that get a token, in their order of arrival; refuses those that have waited for too
/// long or that the leader has denied a token. Makes a call to the leader if one is due.
pub(super) fn tick(state: &mut State, random: u64, now: Micros) {
    let awaiting = std::mem::take(&mut state.awaiting);
    let mut left = Vec::new();
    for row in awaiting {
        let random = random ^ decide::key_bits(row.in_flight);
        if state.in_flight.get(row.in_flight).is_none() {
            // Its caller's identity has changed.
            state.hold.stop_waiting(row.workspace, now);
        } else if let Some(token) = state.hold.take_waiting(row.workspace, now) {
            proceed(state, row.in_flight, token, random, now);
        } else if now >= row.until || state.hold.is_denied(row.workspace, row.until) {
            let retry_ms = state.hold.stop_waiting(row.workspace, now);
            refuse(state, row.in_flight, retry_ms, random);
        } else {
            left.push(row);
        }
    }
    state.awaiting.append(&mut left);
    if let Some(request) = state.hold.next_call(now) {
        state.effects.push(Effect::Lease(request));
    }
}

/// Time at which [`tick`] has something to do, if nothing else happens.
pub(super) fn next_tick(state: &State, now: Micros) -> Option<Micros> {
    let ends = state.awaiting.iter().map(|row| row.until);
    ends.chain(state.hold.next_call_at(now)).min()
}

/// Gives back the token of a request that ends without having run.
pub(super) fn give_back(state: &mut State, in_flight: &InFlight) {
    if let (Some(workspace), Some(token)) = (in_flight.workspace, in_flight.token) {
        state.hold.give_back(workspace, token);
    }
}

/// Drops the tokens of workspaces that were removed or have no limit any more.
pub(super) fn apply_workspaces(state: &mut State) {
    let workspaces = &state.workspaces;
    state
        .hold
        .retain(|key| workspaces.get(key).is_some_and(|row| row.rate > 0));
}
