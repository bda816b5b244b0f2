//! Takes, holds and frees slots. Without I/O or clock.

use {
    super::{
        budget::Budget,
        choose::may_eject,
        settings::Settings,
        state::{Flight, Request, Row, State},
    },
    crate::{
        announce::{Absence, Announcement, Notice},
        call::{Ran, Reason},
        clock::Micros,
        drain::{Cause, Closing},
        keys::{FlightKey, KindKey, ServiceKey, UpstreamKey},
        policy::{Drain, Policy},
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

/// Takes in news of an upstream; returns its service.
pub(super) fn notice(
    state: &mut State,
    settings: Settings,
    policy: &Policy,
    notice: Notice,
    now: Micros,
) -> Option<ServiceKey> {
    match notice {
        Notice::Present {
            key,
            announcement,
            holder,
            lapses,
        } => {
            let service = announcement.service;
            if !state.rows.contains_key(key) {
                join(state, settings, policy, key, &announcement, now);
            }
            update(state, key, announcement, holder, lapses);
            Some(service)
        }
        Notice::Absent { key, why } => {
            let row = state.rows.get_mut(key)?;
            row.absence = Some(why);
            let service = row.said.service;
            sweep(state, key);
            Some(service)
        }
    }
}

/// The drain of an upstream that goes with nothing in flight: it is over as it begins.
pub(super) fn leaves_idle(state: &State, notice: &Notice) -> Option<Closing> {
    let Notice::Absent { key, why } = notice else {
        return None;
    };
    let row = state.rows.get(*key).filter(|row| row.taken == 0)?;
    Some(Closing {
        name: row.said.name.clone(),
        cause: cause(*why),
        left: 0,
    })
}

/// The drain of an upstream that gets no new work.
pub(super) fn closing(row: &Row) -> Option<Closing> {
    let ordered = row.drained.then_some(Cause::Operator);
    Some(Closing {
        name: row.said.name.clone(),
        cause: row.absence.map(cause).or(ordered)?,
        left: row.taken,
    })
}

fn cause(why: Absence) -> Cause {
    match why {
        Absence::Leaving => Cause::Leaving,
        Absence::Lapsed => Cause::Lapsed,
        Absence::Moved | Absence::Replaced => Cause::Moved,
        Absence::Released => Cause::Operator,
    }
}

fn join(
    state: &mut State,
    settings: Settings,
    policy: &Policy,
    key: UpstreamKey,
    said: &Announcement,
    now: Micros,
) {
    let slots = u32::from(said.slots);
    let row = Row {
        said: said.clone(),
        holder: Arc::default(),
        lapses: now,
        taken: 0,
        inherited: slots,
        settles: Some(now.plus_millis(settings.settle_ms)),
        absence: None,
        drained: is_drained(policy, said) || state.drained,
        joined: now,
        latency: 0,
        failures: 0,
        backoff: Micros::default(),
        peak: 0,
        reported: 0,
        budget: Budget::full(settings),
    };
    state.rows.insert(key, row);
    rejoin(state, key);
}

/// An upstream that comes back in the same life still runs what was sent under its last key.
fn rejoin(state: &mut State, key: UpstreamKey) {
    let said = &state.rows[key].said;
    let (name, incarnation) = (said.name.clone(), said.incarnation);
    let is_last = |row: &Row| row.said.name == name && row.said.incarnation == incarnation;
    let last = state.rows.iter().filter(|(_, row)| is_last(row));
    let last: Vec<UpstreamKey> = last
        .map(|(other, _)| other)
        .filter(|other| *other != key)
        .collect();
    for other in last {
        let Some(old) = state.rows.remove(other) else {
            continue;
        };
        for flight in state.flights.values_mut() {
            if flight.upstream == other {
                flight.upstream = key;
            }
        }
        let row = &mut state.rows[key];
        row.taken += old.taken;
        row.latency = old.latency;
        row.joined = old.joined;
    }
}

fn update(
    state: &mut State,
    key: UpstreamKey,
    said: Announcement,
    holder: Arc<str>,
    lapses: Micros,
) {
    let row = &mut state.rows[key];
    if let Some(inherited) = said.inherited {
        // Under one holder it only falls: a late word of more is out of date.
        row.inherited = row.inherited.min(u32::from(inherited));
        row.settles = None;
    }
    if let Some(load) = said.load {
        // What runs beyond our own count, now or since the last report, is others' work. A load
        // beyond every slot cannot be true and is ignored.
        let known = row.peak + row.inherited;
        let sane = load <= u32::from(said.slots);
        row.reported = if sane { load.saturating_sub(known) } else { 0 };
        row.peak = row.taken;
    }
    row.said = said;
    row.holder = holder;
    row.lapses = lapses;
    row.absence = None;
}

/// Takes in the drains in force; `drained` is whether this VM or its zone is drained.
pub(super) fn apply_policy(state: &mut State, policy: &Policy, drained: bool) {
    state.drained = drained;
    for row in state.rows.values_mut() {
        row.drained = drained || is_drained(policy, &row.said);
    }
}

fn is_drained(policy: &Policy, said: &Announcement) -> bool {
    policy.drains(&Drain::Upstream(said.name.clone()))
}

/// Forgets an upstream that is gone and runs nothing for us any more.
fn sweep(state: &mut State, key: UpstreamKey) {
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
