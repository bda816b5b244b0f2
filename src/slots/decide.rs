//! Takes, holds and releases slots, and backs off failing upstreams. Performs no I/O and reads no
//! clock.

use {
    super::{
        budget::Budget,
        choose::may_eject,
        settings::Settings,
        state::{InFlightAttempt, Request, State},
    },
    crate::{
        call::{Ran, Reason},
        clock::Micros,
        keys::{InFlightKey, KindKey, ServiceKey, UpstreamKey},
        relay::Failure,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// A new sample has a weight of one in this many in a moving average.
const AVERAGE_SAMPLES: u64 = 8;
/// An attempt that times out sooner than this does not count as a failure of the upstream.
const MIN_TIMEOUT_US: u64 = 100_000;
/// Limit on the doublings of a back-off.
const MAX_DOUBLINGS: u32 = 5;

/// A slot taken for one attempt, and where to send the attempt.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) in_flight: InFlightKey,
    pub(super) address: SocketAddr,
    pub(super) holder: Arc<str>,
    pub(super) until: Micros,
}

/// Takes a slot of `upstream`, which must have a free one.
pub(super) fn take(
    state: &mut State,
    settings: Settings,
    request: &Request,
    upstream: UpstreamKey,
    now: Micros,
) -> Grant {
    deposit(state, settings, request);
    let row = &mut state.rows[upstream];
    row.taken += 1;
    row.peak = row.peak.max(row.taken);
    if request.attempt == 1 {
        row.budget.deposit(settings);
    } else {
        row.budget.withdraw();
    }
    let until = request
        .meta
        .deadline
        .min(now.plus_millis(settings.attempt_ms));
    let in_flight = InFlightAttempt {
        upstream,
        attempt: request.attempt,
        started: now,
        until,
        held_until: None,
    };
    Grant {
        address: row.announcement.address,
        holder: Arc::clone(&row.holder),
        until,
        in_flight: state.in_flight.insert(in_flight),
    }
}

/// Adds the tokens of a first attempt to the retry budget of its kind.
fn deposit(state: &mut State, settings: Settings, request: &Request) {
    if request.attempt == 1 {
        kind_budget(state, settings, request.meta.kind).deposit(settings);
    }
}

/// Retry budget of `kind`, created full on first use.
fn kind_budget(state: &mut State, settings: Settings, kind: KindKey) -> &mut Budget {
    if state.kinds.get(&kind).is_none() {
        state.kinds.insert(kind, Budget::full(settings));
    }
    state
        .kinds
        .get_mut(&kind)
        .expect("the budget was just inserted")
}

/// Releases the slot of an attempt and removes the attempt; `None` if it is unknown.
pub(super) fn release(state: &mut State, in_flight: InFlightKey) -> Option<InFlightAttempt> {
    let ended = state.in_flight.remove(in_flight)?;
    if let Some(row) = state.rows.get_mut(ended.upstream) {
        row.taken -= 1;
    }
    remove_if_unused(state, ended.upstream);
    Some(ended)
}

/// Completes an attempt that returned a complete response; returns its service.
pub(super) fn succeed(
    state: &mut State,
    in_flight: InFlightKey,
    now: Micros,
) -> Option<ServiceKey> {
    let ended = release(state, in_flight)?;
    let row = state.rows.get_mut(ended.upstream)?;
    let elapsed = now.0.saturating_sub(ended.started.0);
    row.latency = moving_average(row.latency, elapsed);
    row.failures = 0;
    row.backoff = Micros::default();
    let service = row.announcement.service;
    let service_time = &mut state.service(service).service_time;
    *service_time = moving_average(*service_time, elapsed);
    Some(service)
}

/// Records a failed attempt. Its slot stays taken for as long as the upstream may still be
/// processing the request.
pub(super) fn fail(
    state: &mut State,
    settings: Settings,
    in_flight: InFlightKey,
    failure: Failure,
    now: Micros,
) -> Option<InFlightAttempt> {
    let ended = *state.in_flight.get(in_flight)?;
    let held_until = ended.until.plus_millis(settings.grace_ms);
    if failure.ran == Ran::Unknown && held_until > now {
        state.in_flight[in_flight].held_until = Some(held_until);
    } else {
        release(state, in_flight);
    }
    if is_upstream_fault(state, &ended, failure, now) {
        record_failure(state, settings, ended.upstream, now);
    }
    Some(ended)
}

/// Releases the retained slots of attempts that upstreams must have stopped by now, and inherited slots
/// that are considered free; returns the services that gained slots.
pub(super) fn release_due(state: &mut State, now: Micros) -> Vec<ServiceKey> {
    let mut services = Vec::new();
    let due = state.in_flight.iter().filter(|(_, in_flight)| {
        in_flight
            .held_until
            .is_some_and(|held_until| held_until <= now)
    });
    let due: Vec<(InFlightKey, UpstreamKey)> = due
        .map(|(key, in_flight)| (key, in_flight.upstream))
        .collect();
    for (in_flight, upstream) in due {
        services.extend(state.rows.get(upstream).map(|row| row.announcement.service));
        release(state, in_flight);
    }
    for row in state.rows.values_mut() {
        if row
            .inherited_until
            .is_some_and(|inherited_until| inherited_until <= now)
        {
            row.inherited_until = None;
            row.inherited = 0;
            services.push(row.announcement.service);
        }
    }
    services.sort_unstable();
    services.dedup();
    services
}

/// Time at which `release_due` next releases a slot.
pub(super) fn next_release(state: &State) -> Option<Micros> {
    let holds = state
        .in_flight
        .values()
        .filter_map(|in_flight| in_flight.held_until);
    let inherited = state.rows.values().filter_map(|row| row.inherited_until);
    holds.chain(inherited).min()
}

/// Whether a failed attempt may be retried, regardless of the retry budget.
pub(super) fn may_retry(
    settings: Settings,
    failure: Failure,
    attempt: u64,
    repeatable: bool,
) -> bool {
    if attempt >= settings.attempts || failure.reason == Reason::Cancelled {
        return false;
    }
    // A request that may have run is retried at most once: it may be the one that crashes
    // upstreams.
    failure.ran == Ran::No || (repeatable && attempt == 1)
}

/// Takes a retry token from the budget of `kind`; returns `false` if it has none.
pub(super) fn withdraw_retry(state: &mut State, settings: Settings, kind: KindKey) -> bool {
    kind_budget(state, settings, kind).withdraw()
}

/// Removes an absent upstream that runs no more requests of this VM.
pub(super) fn remove_if_unused(state: &mut State, key: UpstreamKey) {
    let unused = state
        .rows
        .get(key)
        .is_some_and(|row| row.taken == 0 && row.absence.is_some());
    if unused {
        state.rows.remove(key);
    }
}

/// Whether the failure is attributed to the upstream.
fn is_upstream_fault(
    state: &State,
    ended: &InFlightAttempt,
    failure: Failure,
    now: Micros,
) -> bool {
    let elapsed = now.0.saturating_sub(ended.started.0);
    let latency = state.rows.get(ended.upstream).map_or(0, |row| row.latency);
    match failure.reason {
        Reason::ConnectFailed
        | Reason::AnswerCut
        | Reason::AnswerMismatch
        | Reason::UpstreamRefused => true,
        // A short deadline set by the caller must not put an upstream in back-off.
        Reason::AnswerTimeout => elapsed >= MIN_TIMEOUT_US.max(latency.saturating_mul(3)),
        _ => false,
    }
}

/// Counts a failure of the upstream, and puts it in back-off after `eject_after` consecutive ones.
fn record_failure(state: &mut State, settings: Settings, key: UpstreamKey, now: Micros) {
    let Some(row) = state.rows.get_mut(key) else {
        return;
    };
    row.failures = row.failures.saturating_add(1);
    let (failures, service) = (row.failures, row.announcement.service);
    if failures < settings.eject_after || !may_eject(state, service, now) {
        return;
    }
    let doublings = (failures - settings.eject_after).min(MAX_DOUBLINGS);
    state.rows[key].backoff = now.plus_millis(settings.backoff_ms << doublings);
}

/// Exponential moving average; at least 1, because zero means "no sample yet".
fn moving_average(last: u64, sample: u64) -> u64 {
    if last == 0 {
        return sample.max(1);
    }
    (last - last / AVERAGE_SAMPLES + sample / AVERAGE_SAMPLES).max(1)
}
