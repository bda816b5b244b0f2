//! Picks an upstream by free slots and own latency. Without I/O or clock.

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

/// Latency in microseconds that is assumed of an upstream not yet measured.
const UNMEASURED: u64 = 1_000;
/// A ramp opens the slots in this many steps at least.
const RAMP_FLOOR: u32 = 1;

/// The upstream that is expected to answer first, or why there is none.
pub(super) fn choose(
    state: &State,
    settings: Settings,
    request: &Request,
    now: Micros,
) -> Result<UpstreamKey, Reason> {
    let service = request.meta.service;
    let open: Vec<(UpstreamKey, &Row)> = open(state, service, now).collect();
    if open.is_empty() {
        return Err(Reason::NoUpstream);
    }
    let warm = is_any_warm(&open, settings, now);
    let free = open
        .iter()
        .filter(|(_, row)| row.used() < limit(row, settings, warm, now));
    let free: Vec<(UpstreamKey, &Row)> = free.copied().collect();
    if free.is_empty() {
        return Err(Reason::NoSlot);
    }
    let paid = |row: &Row| request.attempt == 1 || row.budget.is_enough();
    // Backed-off upstreams and the one that failed last are taken only when no other is left.
    let best = free
        .iter()
        .filter(|(_, row)| paid(row))
        .min_by_key(|(key, row)| {
            let shunned = now < row.backoff || request.avoid == Some(*key);
            (shunned, score(row, settings, warm, now))
        });
    best.map(|(key, _)| *key).ok_or(Reason::RetryBudget)
}

/// Slots of the service that may be in use at once.
pub(super) fn capacity(state: &State, settings: Settings, service: ServiceKey, now: Micros) -> u64 {
    let open: Vec<(UpstreamKey, &Row)> = open(state, service, now).collect();
    let warm = is_any_warm(&open, settings, now);
    let limits = open.iter().map(|(_, row)| limit(row, settings, warm, now));
    limits.map(u64::from).sum()
}

/// Whether an upstream may be backed off: at most half of a service's are.
pub(super) fn may_eject(state: &State, service: ServiceKey, now: Micros) -> bool {
    let (mut all, mut ejected) = (0, 0);
    for (_, row) in open(state, service, now) {
        all += 1;
        ejected += usize::from(now < row.backoff);
    }
    (ejected + 1) * 2 <= all
}

/// Slots that may be in use at once: never more than announced.
pub(super) fn limit(row: &Row, settings: Settings, warm: bool, now: Micros) -> u32 {
    let slots = u32::from(row.said.slots);
    // A misleading report of load can take half of the slots at most.
    let limit = slots.saturating_sub(row.reported).max(slots.div_ceil(2));
    if !warm {
        return limit;
    }
    limit.min(ramp(row, settings, now))
}

/// Slots that a new upstream has opened so far.
fn ramp(row: &Row, settings: Settings, now: Micros) -> u32 {
    let slots = u32::from(row.said.slots);
    let ramp = settings.ramp_ms * 1_000;
    let age = now.0.saturating_sub(row.joined.0);
    if age >= ramp {
        return slots;
    }
    let open = u64::from(slots) * age / ramp;
    u32::try_from(open).unwrap_or(slots).max(RAMP_FLOOR)
}

/// Whether any upstream is past its ramp; without one, a ramp would only refuse requests.
fn is_any_warm(open: &[(UpstreamKey, &Row)], settings: Settings, now: Micros) -> bool {
    let ramp = settings.ramp_ms;
    open.iter()
        .any(|(_, row)| row.joined.plus_millis(ramp) <= now)
}

/// Expected cost: the measured latency, times the share of the slots that would be in use.
fn score(row: &Row, settings: Settings, warm: bool, now: Micros) -> u64 {
    let latency = if row.latency == 0 {
        UNMEASURED
    } else {
        row.latency
    };
    let used = u64::from(row.used()) + 1;
    let limit = u64::from(limit(row, settings, warm, now).max(1));
    latency.saturating_mul(used).saturating_mul(1_000) / limit
}

fn open(
    state: &State,
    service: ServiceKey,
    now: Micros,
) -> impl Iterator<Item = (UpstreamKey, &Row)> {
    state
        .rows
        .iter()
        .filter(move |(_, row)| row.said.service == service && row.is_open(now))
}

/// When a ramp next opens a slot that a waiting request may take.
pub(super) fn next_ramp(state: &State, settings: Settings, now: Micros) -> Option<Micros> {
    if state.waiting() == 0 {
        return None;
    }
    let ramp = settings.ramp_ms * 1_000;
    let ramping = state.rows.values().filter(|row| {
        let age = now.0.saturating_sub(row.joined.0);
        row.is_open(now) && age < ramp
    });
    let steps = ramping.map(|row| {
        let slots = u64::from(row.said.slots.max(1));
        let age = now.0.saturating_sub(row.joined.0);
        let step = slots * age / ramp + 1;
        Micros(row.joined.0 + (ramp * step).div_ceil(slots))
    });
    steps.min()
}
