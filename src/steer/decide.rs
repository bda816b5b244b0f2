//! Steering decisions: plain functions of state, message and time.

use {
    super::{
        allotment, identity, learn, place, pressure, queue, split,
        state::{Effect, InFlight, State},
    },
    crate::{
        call::{Ran, Reason, Refusal},
        catalog::Route,
        clock::Micros,
        courier::Ended,
        keys::{InFlightKey, UpstreamKey},
        workspaces::Credential,
    },
    std::sync::Arc,
};

/// Microseconds in a millisecond, and milliseconds in a second.
const MILLI: f64 = 1_000.0;
/// Maximum number of sends of a request. The attempts that its route allows count only sends that an upstream
/// may have run; this limit also counts those that were refused or did not reach one.
const MAX_SENDS: usize = 6;
/// Divisor of the latency objective that gives the longest wait of a request that cannot meet it: a refusal
/// within this time counts as prompt.
const PROMPT_DIVISOR: u64 = 8;
/// Bounds of the delay after which callers are asked to retry, before its random extension.
const MIN_RETRY_MS: f64 = 100.0;
pub(super) const MAX_RETRY_MS: f64 = 1_000.0;
/// Milliseconds after which a VM without a configuration usually has one: an election of the control VMs, if
/// all of them have just restarted, and one response.
const JOIN_MS: f64 = 600.0;
/// Milliseconds between scans of the waiting requests.
pub(super) const QUEUE_SCAN_MS: u64 = 20;

/// The parts of a request that decide its route and upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestHead<'a> {
    pub(super) host: &'a str,
    pub(super) path: &'a str,
    pub(super) affinity: Option<u64>,
    pub(super) credential: Credential,
    pub(super) timeout_ms: Option<u64>,
    /// Size of the body.
    pub(super) body_bytes: u64,
    /// Drawn anew for each request.
    pub(super) random: u64,
}

/// Admits a request. The effects report whether it is sent, queued or refused.
///
/// # Errors
/// No configuration is known yet, no route matches, the body is larger than configured, the caller is not identified,
/// or the route's services have no weight.
pub(super) fn admit(
    state: &mut State,
    head: &RequestHead<'_>,
    now: Micros,
) -> Result<(InFlightKey, Arc<str>), Refusal> {
    if state.version == 0 {
        return Err(Refusal {
            retry_ms: jittered_ms(JOIN_MS, head.random),
            ..Refusal::not_run(Reason::NotJoined)
        });
    }
    let found = state.index.find(head.host, head.path);
    let Some((name, route)) = found else {
        return Err(Refusal::not_run(Reason::UnknownKind));
    };
    if head.body_bytes > state.body_bytes {
        return Err(Refusal::not_run(Reason::TooLarge));
    }
    let (workspace, rank) = identity::identify(state, &route, head.credential, head.random)?;
    let Some(service) = split::pick_service(state, &name, &route) else {
        return Err(Refusal::not_run(Reason::NoUpstream));
    };
    let timeout_ms = head.timeout_ms.unwrap_or(state.settings.timeout_ms);
    let deadline = now.plus_millis(timeout_ms.min(route.timeout_ms));
    let work_us = state.pools.get(&service).map_or(0.0, |pool| pool.cached_us);
    let is_keyless = !route.affinity || head.affinity.is_none();
    let in_flight = InFlight {
        send_by: latest_send(&route, work_us, now).min(deadline),
        route,
        credential: head.credential,
        flow: queue::flow(state, workspace, &name),
        workspace,
        rank,
        service: Arc::clone(&service),
        affinity: head.affinity.unwrap_or(head.random),
        is_keyless,
        random: head.random,
        body_bytes: head.body_bytes,
        arrived: now,
        deadline,
        upstream: None,
        tried: Vec::new(),
        retry_same: None,
        possible_runs: 0,
        token: None,
    };
    if let Some(pool) = state.pools.get_mut(&service) {
        pool.budget.record_request(now);
    }
    init_local_share(state, &service);
    let key = state.in_flight.insert(in_flight);
    allotment::start(state, key, head.random, now);
    Ok((key, name))
}

/// Latest time to send a request: early enough to meet its objective, but no earlier than the limit for a
/// prompt refusal.
fn latest_send(route: &Route, work_us: f64, now: Micros) -> Micros {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "nonnegative, far below 2^53 ms"
    )]
    let expected_ms = (work_us / MILLI) as u64;
    let slack_ms = route.objective_ms.saturating_sub(expected_ms);
    now.plus_millis(slack_ms.max(route.objective_ms / PROMPT_DIVISOR))
}

/// Sends, queues or refuses a request.
pub(super) fn place_or_enqueue(state: &mut State, key: InFlightKey, random: u64, now: Micros) {
    if !queue::has_waiting_ahead(state, key, now) && send(state, key, now) {
        return queue::record_direct(state, key);
    }
    if queue::refusal_reason(state, key, now) == Some(Reason::Shed) {
        queue::make_room(state, key, random, now);
    }
    match queue::refusal_reason(state, key, now) {
        Some(reason) => refuse(state, key, reason, Ran::No, random, now),
        None => queue::enqueue(state, key),
    }
}

pub(super) fn send(state: &mut State, key: InFlightKey, now: Micros) -> bool {
    place::rank_upstreams(state, key);
    let Some(in_flight) = state.in_flight.get(key) else {
        return false;
    };
    let Some(pool) = state.pools.get(&in_flight.service) else {
        return false;
    };
    let Some((upstream, basis)) = place::choose(state, pool, in_flight, now) else {
        return false;
    };
    place::record_sent(state, upstream, basis, now);
    pressure::record_sent(state, upstream, key, now);
    let (Some(in_flight), Some(row)) =
        (state.in_flight.get_mut(key), state.upstreams.get(upstream))
    else {
        return false;
    };
    in_flight.upstream = Some((upstream, basis));
    in_flight.tried.push(upstream);
    state.bodies.add(upstream, in_flight.body_bytes);
    state.effects.push(Effect::Send {
        in_flight: key,
        upstream,
        address: row.address,
        id: Arc::clone(&row.id),
        born: row.born,
        deadline: in_flight.deadline,
        is_checked: state.workspaces.has_workspaces(),
        workspace: in_flight
            .workspace
            .and_then(|key| state.workspaces.get(key))
            .map(|row| Arc::clone(&row.name)),
        basis,
    });
    true
}

/// Ends a request without an upstream's response.
pub(super) fn refuse(
    state: &mut State,
    key: InFlightKey,
    reason: Reason,
    ran: Ran,
    random: u64,
    now: Micros,
) {
    let Some(in_flight) = state.in_flight.remove(key) else {
        return;
    };
    if ran == Ran::No {
        allotment::give_back(state, &in_flight);
    }
    let refusal = Refusal {
        reason,
        ran,
        retry_ms: retry_delay_ms(state, &in_flight, random, now),
    };
    state.effects.push(Effect::Refuse(key, refusal));
}

/// Milliseconds after which a caller should retry: the expected time until the waiting requests have been
/// served, at least the work time of one request, clamped to `MIN_RETRY_MS..=MAX_RETRY_MS`. It is extended at
/// random by up to as much again, so that callers do not all retry at the same time. If all upstreams rest, it begins
/// when the first of them accepts requests again.
fn retry_delay_ms(state: &State, in_flight: &InFlight, random: u64, now: Micros) -> u32 {
    let Some(pool) = state.pools.get(&in_flight.service) else {
        return 200;
    };
    #[allow(
        clippy::cast_precision_loss,
        reason = "queue lengths are far below 2^53"
    )]
    let wait_ms = pool.waiting.len() as f64 / pool.completions.read(now).max(1.0) * MILLI;
    let base_ms = wait_ms
        .max(pool.cached_us / MILLI)
        .clamp(MIN_RETRY_MS, MAX_RETRY_MS);
    let rest_end = pressure::rest_end(state, pool, in_flight, now);
    let rest_ms = rest_end.map_or(0, |end| end.since(now).as_millis());
    let rest_ms = u32::try_from(rest_ms).unwrap_or(u32::MAX);
    rest_ms.saturating_add(jittered_ms(base_ms, random))
}

/// A delay extended at random by up to as much again.
pub(super) fn jittered_ms(base_ms: f64, random: u64) -> u32 {
    let jitter = f64::from(u16::try_from(random % 1_000).unwrap_or(0)) / 1_000.0;
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive, at most 2 * MAX_RETRY_MS"
    )]
    let ms = (base_ms * (1.0 + jitter)) as u32;
    ms
}

/// Handles the end of an attempt.
pub(super) fn finish_attempt(
    state: &mut State,
    key: InFlightKey,
    ended: Ended,
    took_us: u64,
    random: u64,
    now: Micros,
) {
    let Some(in_flight) = state.in_flight.get_mut(key) else {
        return;
    };
    let upstream = in_flight.upstream.take();
    let sent_to = upstream.map(|(upstream, _)| upstream);
    state.bodies.remove(sent_to, in_flight.body_bytes);
    let service = Arc::clone(&in_flight.service);
    let affinity_key = in_flight.route.affinity.then_some(in_flight.affinity);
    if let Some((upstream, basis)) = upstream {
        let is_latency_sample = match ended {
            Ended::Answered { status, .. } => status < 500,
            Ended::Failed { reason, .. } => reason == Reason::AnswerTimeout,
            Ended::Misdirected => false,
        };
        if is_latency_sample {
            learn::record_latency(state, upstream, basis, took_us, now);
        }
        if let (Ended::Answered { .. }, Some(key)) = (ended, affinity_key)
            && let Some(row) = state.upstreams.get_mut(upstream)
        {
            row.record_key(key, now);
        }
        learn::record_outcome(state, upstream, ended, now);
        pressure::record_end(state, upstream, key, ended, now);
        learn::record_locality(state, key, basis, ended, now);
    }
    match ended {
        Ended::Answered { .. } => {
            if let Some(pool) = state.pools.get_mut(&service) {
                pool.completions.record(now);
            }
            state.in_flight.remove(key);
            state.effects.push(Effect::Deliver(key));
        }
        Ended::Misdirected => retry(state, key, Reason::AnswerMismatch, Ran::No, random, now),
        Ended::Failed { reason, ran, load } => {
            let refused = reason == Reason::UpstreamRefused;
            if refused && load.is_some_and(|load| load.running < load.slots) {
                allow_same_upstream(state, key, sent_to);
            }
            retry(state, key, reason, ran, random, now);
        }
    }
    queue::send_waiting(state, &service, random, now);
}

/// Allows a second attempt at an upstream that refused despite free slots: such a refusal predicts little
/// about the next attempt.
fn allow_same_upstream(state: &mut State, key: InFlightKey, upstream: Option<UpstreamKey>) {
    if let Some(in_flight) = state.in_flight.get_mut(key) {
        let is_tried_once =
            |key: &UpstreamKey| in_flight.tried.iter().filter(|row| *row == key).count() < 2;
        in_flight.retry_same = upstream.filter(is_tried_once);
    }
}

/// Retries a request if that is safe and within its limits; refuses it otherwise.
fn retry(state: &mut State, key: InFlightKey, reason: Reason, ran: Ran, random: u64, now: Micros) {
    let Some(in_flight) = state.in_flight.get_mut(key) else {
        return;
    };
    if ran == Ran::Unknown {
        in_flight.possible_runs += 1;
    }
    let is_safe = ran == Ran::No || in_flight.is_repeatable();
    let has_attempts_left = in_flight.possible_runs < in_flight.route.attempts.max(1)
        && in_flight.tried.len() < MAX_SENDS;
    let reached_upstream = !matches!(reason, Reason::ConnectFailed | Reason::UpstreamHeld);
    let ran = if in_flight.possible_runs > 0 {
        Ran::Unknown
    } else {
        Ran::No
    };
    let service = Arc::clone(&in_flight.service);
    let is_over =
        now >= in_flight.deadline || matches!(reason, Reason::Cancelled | Reason::Poisoned);
    if is_over || !is_safe || !has_attempts_left {
        return refuse(state, key, reason, ran, random, now);
    }
    let in_flight = state.in_flight.get(key);
    if let Some(reason) = in_flight.and_then(|row| identity::change(state, row)) {
        return refuse(state, key, reason, ran, random, now);
    }
    if reached_upstream {
        let permille = state.settings.retry_permille;
        let slack = state.slack_share.of(state.settings.retry_slack, now);
        let Some(pool) = state.pools.get_mut(&service) else {
            return refuse(state, key, reason, ran, random, now);
        };
        if !pool.budget.try_spend(permille, slack, now) {
            return refuse(state, key, Reason::RetryBudget, ran, random, now);
        }
    }
    state.effects.push(Effect::Retry(reason));
    if !send(state, key, now) {
        refuse(state, key, reason, ran, random, now);
    }
}

pub(super) fn key_bits(key: InFlightKey) -> u64 {
    slotmap::Key::data(&key).as_ffi()
}

/// Advances pacing windows and local shares, and scans the waiting requests.
pub(super) fn tick(state: &mut State, random: u64, now: Micros) {
    allotment::tick(state, random, now);
    let mut names: Vec<Arc<str>> = Vec::new();
    state.pools.retain(|name, pool| {
        pool.pacer.tick(random, now);
        pool.locality.adapt(now);
        if !pool.waiting.is_empty() {
            names.push(Arc::clone(name));
        }
        true
    });
    for name in names {
        queue::send_waiting(state, &name, random, now);
    }
}

/// Derives the initial local share from the region's capacity, before the first request is sent.
fn init_local_share(state: &mut State, service: &Arc<str>) {
    let pool = state.pools.get(service);
    let Some(pool) = pool.filter(|pool| pool.pacer.is_first_window()) else {
        return;
    };
    let share = place::capacity_ratio(state, pool);
    if let Some(pool) = state.pools.get_mut(service) {
        pool.locality.set_local_share(share);
    }
}
