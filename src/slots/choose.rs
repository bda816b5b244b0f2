//! Selects an upstream by free slots and locally measured latency. Performs no I/O and reads no
//! clock.

use {
    super::{
        settings::Settings,
        state::{Request, Row, State},
    },
    crate::{
        call::Reason,
        clock::Micros,
        keys::{ServiceKey, UpstreamKey},
    },
};

/// Latency assumed for an upstream without a completed attempt.
const DEFAULT_LATENCY_US: u64 = 1_000;
/// Slots that a ramping upstream has open from the start.
const MIN_RAMP_SLOTS: u32 = 1;

/// Returns the upstream with the lowest expected latency.
///
/// # Errors
/// `NoUpstream` if none of the service is open, `NoSlot` if all open slots are in use,
/// `RetryBudget` if the request is a retry and no upstream with a free slot has budget for it.
pub(super) fn choose(
    state: &State,
    settings: Settings,
    request: &Request,
    now: Micros,
) -> Result<UpstreamKey, Reason> {
    let service = request.meta.service;
    let open: Vec<(UpstreamKey, &Row)> = open_rows(state, service, now).collect();
    if open.is_empty() {
        return Err(Reason::NoUpstream);
    }
    let use_ramp = has_ramped_up(&open, settings, now);
    let free = open
        .iter()
        .filter(|(_, row)| row.used() < limit(row, settings, use_ramp, now));
    let free: Vec<(UpstreamKey, &Row)> = free.copied().collect();
    if free.is_empty() {
        return Err(Reason::NoSlot);
    }
    let has_budget = |row: &Row| request.attempt == 1 || row.budget.has_token();
    // Upstreams in back-off and the one that failed the last attempt are chosen only if no other
    // upstream has a free slot.
    let best = free
        .iter()
        .filter(|(_, row)| has_budget(row))
        .min_by_key(|(key, row)| {
            let deprioritized = now < row.backoff || request.avoid == Some(*key);
            (deprioritized, score(row, settings, use_ramp, now))
        });
    best.map(|(key, _)| *key).ok_or(Reason::RetryBudget)
}

/// Slots of the service that may be in use at the same time.
pub(super) fn capacity(state: &State, settings: Settings, service: ServiceKey, now: Micros) -> u64 {
    let open: Vec<(UpstreamKey, &Row)> = open_rows(state, service, now).collect();
    let use_ramp = has_ramped_up(&open, settings, now);
    let limits = open
        .iter()
        .map(|(_, row)| limit(row, settings, use_ramp, now));
    limits.map(u64::from).sum()
}

/// Whether one more upstream may be put in back-off: at most half of a service's open upstreams
/// are.
pub(super) fn may_eject(state: &State, service: ServiceKey, now: Micros) -> bool {
    let (mut all, mut ejected) = (0, 0);
    for (_, row) in open_rows(state, service, now) {
        all += 1;
        ejected += usize::from(now < row.backoff);
    }
    (ejected + 1) * 2 <= all
}

/// Slots of the upstream that may be in use at the same time: never more than announced.
pub(super) fn limit(row: &Row, settings: Settings, use_ramp: bool, now: Micros) -> u32 {
    let slots = u32::from(row.announcement.slots);
    // An incorrect load report can remove at most half of the slots.
    let limit = slots
        .saturating_sub(row.external_load)
        .max(slots.div_ceil(2));
    if !use_ramp {
        return limit;
    }
    limit.min(ramp_limit(row, settings, now))
}

/// Slots that the slow-start ramp of a new upstream has opened so far.
fn ramp_limit(row: &Row, settings: Settings, now: Micros) -> u32 {
    let slots = u32::from(row.announcement.slots);
    let ramp_us = settings.ramp_ms * 1_000;
    let age = now.0.saturating_sub(row.joined.0);
    if age >= ramp_us {
        return slots;
    }
    let open = u64::from(slots) * age / ramp_us;
    u32::try_from(open).unwrap_or(slots).max(MIN_RAMP_SLOTS)
}

/// Whether any upstream has completed its ramp. If none has, ramps are not applied, because no
/// other upstream could serve the requests that they would refuse.
fn has_ramped_up(open: &[(UpstreamKey, &Row)], settings: Settings, now: Micros) -> bool {
    let ramp = settings.ramp_ms;
    open.iter()
        .any(|(_, row)| row.joined.plus_millis(ramp) <= now)
}

/// Expected cost: the measured latency times the fraction of the slots that would be in use.
fn score(row: &Row, settings: Settings, use_ramp: bool, now: Micros) -> u64 {
    let latency = if row.latency == 0 {
        DEFAULT_LATENCY_US
    } else {
        row.latency
    };
    let used = u64::from(row.used()) + 1;
    let limit = u64::from(limit(row, settings, use_ramp, now).max(1));
    latency.saturating_mul(used).saturating_mul(1_000) / limit
}

/// Upstreams of the service that accept new requests.
fn open_rows(
    state: &State,
    service: ServiceKey,
    now: Micros,
) -> impl Iterator<Item = (UpstreamKey, &Row)> {
    state
        .rows
        .iter()
        .filter(move |(_, row)| row.announcement.service == service && row.is_open(now))
}

/// Time at which a ramp next opens a slot for a queued request; `None` if no request is queued or
/// no upstream is ramping.
pub(super) fn next_ramp_step(state: &State, settings: Settings, now: Micros) -> Option<Micros> {
    if state.queue_len() == 0 {
        return None;
    }
    let ramp_us = settings.ramp_ms * 1_000;
    let ramping = state.rows.values().filter(|row| {
        let age = now.0.saturating_sub(row.joined.0);
        row.is_open(now) && age < ramp_us
    });
    let steps = ramping.map(|row| {
        let slots = u64::from(row.announcement.slots.max(1));
        let age = now.0.saturating_sub(row.joined.0);
        let step = slots * age / ramp_us + 1;
        Micros(row.joined.0 + (ramp_us * step).div_ceil(slots))
    });
    steps.min()
}
