//! Takes, holds and frees slots, and blames upstreams that fail. Without I/O or clock.

use {
    super::{
        budget::Budget,
        choose::may_eject,
        settings::Settings,
        state::{Flight, Request, State},
    },
    crate::{
        call::{Ran, Reason},
        clock::Micros,
        keys::{FlightKey, KindKey, ServiceKey, UpstreamKey},
        relay::Failure,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Weight of a new sample in a moving average: one in this many.
const SAMPLES: u64 = 8;
/// A time-out shorter than this says nothing of the upstream.
const SHORTEST_TIMEOUT: u64 = 100_000;
/// Back-offs double this many times at most.
const DOUBLINGS: u32 = 5;

/// A slot that was taken.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) flight: FlightKey,
    pub(super) address: SocketAddr,
    pub(super) holder: Arc<str>,
    pub(super) until: Micros,
}

/// Takes a slot of `upstream`, which has one free.
pub(super) fn take(
    state: &mut State,
    settings: Settings,
    request: &Request,
    upstream: UpstreamKey,
    now: Micros,
) -> Grant {
    earn(state, settings, request);
    let row = &mut state.rows[upstream];
    row.taken += 1;
    row.peak = row.peak.max(row.taken);
    if request.attempt == 1 {
        row.budget.earn(settings);
    } else {
        row.budget.spend();
    }
    let until = request
        .meta
        .deadline
        .min(now.plus_millis(settings.attempt_ms));
    let flight = Flight {
        upstream,
        attempt: request.attempt,
        started: now,
        until,
        held: None,
    };
    Grant {
        address: row.said.address,
        holder: Arc::clone(&row.holder),
        until,
        flight: state.flights.insert(flight),
    }
}

fn earn(state: &mut State, settings: Settings, request: &Request) {
    if request.attempt == 1 {
        budget(state, settings, request.meta.kind).earn(settings);
    }
}

fn budget(state: &mut State, settings: Settings, kind: KindKey) -> &mut Budget {
    if state.kinds.get(&kind).is_none() {
        state.kinds.insert(kind, Budget::full(settings));
    }
    state
        .kinds
        .get_mut(&kind)
        .expect("the budget was just inserted")
}

/// Frees the slot of an attempt that never left this VM.
pub(super) fn free(state: &mut State, flight: FlightKey) -> Option<Flight> {
    let ended = state.flights.remove(flight)?;
    if let Some(row) = state.rows.get_mut(ended.upstream) {
        row.taken -= 1;
    }
    sweep(state, ended.upstream);
    Some(ended)
}

/// Ends an attempt that brought a complete answer.
pub(super) fn succeed(state: &mut State, flight: FlightKey, now: Micros) -> Option<ServiceKey> {
    let ended = free(state, flight)?;
    let row = state.rows.get_mut(ended.upstream)?;
    let took = now.0.saturating_sub(ended.started.0);
    row.latency = average(row.latency, took);
    row.failures = 0;
    row.backoff = Micros::default();
    let service = row.said.service;
    let busy = &mut state.service(service).busy;
    *busy = average(*busy, took);
    Some(service)
}

/// Ends an attempt that failed. Its slot stays taken for as long as the upstream may still run it.
pub(super) fn fail(
    state: &mut State,
    settings: Settings,
    flight: FlightKey,
    failure: Failure,
    now: Micros,
) -> Option<Flight> {
    let ended = *state.flights.get(flight)?;
    let held = ended.until.plus_millis(settings.grace_ms);
    if failure.ran == Ran::Unknown && held > now {
        state.flights[flight].held = Some(held);
    } else {
        free(state, flight);
    }
    if is_blamed(state, &ended, failure, now) {
        blame(state, settings, ended.upstream, now);
    }
    Some(ended)
}

/// Frees what upstreams must have ended by now; returns the services that gained slots.
pub(super) fn settle(state: &mut State, now: Micros) -> Vec<ServiceKey> {
    let mut services = Vec::new();
    let over = state
        .flights
        .iter()
        .filter(|(_, flight)| flight.held.is_some_and(|held| held <= now));
    let over: Vec<(FlightKey, UpstreamKey)> =
        over.map(|(key, flight)| (key, flight.upstream)).collect();
    for (flight, upstream) in over {
        services.extend(state.rows.get(upstream).map(|row| row.said.service));
        free(state, flight);
    }
    for row in state.rows.values_mut() {
        if row.settles.is_some_and(|settles| settles <= now) {
            row.settles = None;
            row.inherited = 0;
            services.push(row.said.service);
        }
    }
    services.sort_unstable();
    services.dedup();
    services
}

/// When a held slot is next freed by time alone.
pub(super) fn next_settle(state: &State) -> Option<Micros> {
    let held = state.flights.values().filter_map(|flight| flight.held);
    let settles = state.rows.values().filter_map(|row| row.settles);
    held.chain(settles).min()
}

/// Whether a failed attempt may be followed by another, its budget left aside.
pub(super) fn may_retry(
    settings: Settings,
    failure: Failure,
    attempt: u64,
    repeatable: bool,
) -> bool {
    if attempt >= settings.attempts || failure.reason == Reason::Cancelled {
        return false;
    }
    // One that may have run is tried once more at most: it may be what crashes upstreams.
    failure.ran == Ran::No || (repeatable && attempt == 1)
}

/// Pays for a retry out of the kind's budget.
pub(super) fn pay(state: &mut State, settings: Settings, kind: KindKey) -> bool {
    budget(state, settings, kind).spend()
}

/// Forgets an upstream that is gone and runs nothing for us any more.
pub(super) fn sweep(state: &mut State, key: UpstreamKey) {
    let over = state
        .rows
        .get(key)
        .is_some_and(|row| row.taken == 0 && row.absence.is_some());
    if over {
        state.rows.remove(key);
    }
}

fn is_blamed(state: &State, ended: &Flight, failure: Failure, now: Micros) -> bool {
    let took = now.0.saturating_sub(ended.started.0);
    let usual = state.rows.get(ended.upstream).map_or(0, |row| row.latency);
    match failure.reason {
        Reason::ConnectFailed
        | Reason::AnswerCut
        | Reason::AnswerMismatch
        | Reason::UpstreamRefused => true,
        // A caller in a hurry must not get an upstream backed off.
        Reason::AnswerTimeout => took >= SHORTEST_TIMEOUT.max(usual.saturating_mul(3)),
        _ => false,
    }
}

fn blame(state: &mut State, settings: Settings, key: UpstreamKey, now: Micros) {
    let Some(row) = state.rows.get_mut(key) else {
        return;
    };
    row.failures = row.failures.saturating_add(1);
    let (failures, service) = (row.failures, row.said.service);
    if failures < settings.eject_after || !may_eject(state, service, now) {
        return;
    }
    let doublings = (failures - settings.eject_after).min(DOUBLINGS);
    state.rows[key].backoff = now.plus_millis(settings.backoff_ms << doublings);
}

fn average(last: u64, sample: u64) -> u64 {
    if last == 0 {
        return sample.max(1);
    }
    (last - last / SAMPLES + sample / SAMPLES).max(1)
}
