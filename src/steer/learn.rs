//! Updates the statistics of upstreams from ended attempts: work time, slowness, load and failures.

use {
    super::state::{Basis, MAX_PREFERRED, Preference, State, Upstream},
    crate::{
        call::Reason,
        clock::Micros,
        courier::{Ended, Load},
        keys::{InFlightKey, UpstreamKey},
    },
};

/// Weight of the newest attempt in a moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Failure rate above which error responses, time-outs and mismatched responses put an upstream in back-off.
/// All other failures do so at any rate, except refusals by the upstream, attempts that were not sent since it
/// restricted them, cancelled attempts and expired deadlines, which never do.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Upper limit on the ratio to the average work time that one attempt adds to the slowness of its upstream.
const MAX_SLOWNESS: f64 = 10.0;

/// Records the work time of an attempt for its service and its upstream. For an attempt that timed out, the
/// time taken is a lower bound.
pub(super) fn record_latency(
    state: &mut State,
    key: UpstreamKey,
    basis: Basis,
    took_us: u64,
    now: Micros,
) {
    let Some(upstream) = state.upstreams.get_mut(key) else {
        return;
    };
    let Some(pool) = state.pools.get_mut(&upstream.service) else {
        return;
    };
    let distance = usize::from(basis.distance);
    #[allow(clippy::cast_precision_loss, reason = "far below 2^53 us")]
    let work_us = took_us as f64 - state.connect_us[distance];
    // If the load exceeds the slots, the request was queued, and work is only a part of the time taken.
    let slots = f64::from(upstream.slots.max(1));
    let work_us = work_us.max(0.0) * slots / (basis.load + 1.0).max(slots);
    let slowness = upstream.slowness(now);
    let average_us = &mut pool.work_us[distance];
    *average_us += EWMA_WEIGHT * (work_us / slowness.max(1.0) - *average_us);
    let expected_us = if basis.cached {
        &mut pool.cached_us
    } else {
        &mut pool.uncached_us[distance][basis.affinity_rank.min(MAX_PREFERRED - 1)]
    };
    let ratio = work_us / expected_us.max(1.0);
    // Times at a slow upstream are not representative of the others, so they are divided by the slowness.
    *expected_us += EWMA_WEIGHT * (work_us / slowness.max(1.0) - *expected_us);
    upstream.slowness = (
        slowness + EWMA_WEIGHT * (ratio.min(MAX_SLOWNESS) - slowness),
        now,
    );
}

/// Records the outcome of an attempt for its upstream: load, failure rate and back-off.
pub(super) fn record_outcome(state: &mut State, key: UpstreamKey, ended: Ended, now: Micros) {
    let (backoff_ms, max_ms) = (state.settings.backoff_ms, state.settings.max_backoff_ms);
    let decay_ms = state.settings.load_decay_ms;
    let Some(upstream) = state.upstreams.get_mut(key) else {
        return;
    };
    upstream.in_flight_count = upstream.in_flight_count.saturating_sub(1);
    let back_off = |upstream: &mut Upstream| {
        let ms = backoff_ms
            .saturating_mul(1 << upstream.failures.min(16))
            .min(max_ms);
        upstream.backoff_until = upstream.backoff_until.max(now.plus_millis(ms));
        upstream.failures += 1;
    };
    let last_report = upstream.reported.at();
    match ended {
        Ended::Answered { status, load } => {
            if let Some(load) = load {
                upstream.record_load(load, decay_ms, now);
            }
            let failed = if status >= 500 { 1.0 } else { 0.0 };
            upstream.failure_rate += EWMA_WEIGHT * (failed - upstream.failure_rate);
            if status >= 500 && upstream.failure_rate > MAX_FAILURE_RATE {
                back_off(upstream);
            } else if status < 500 {
                upstream.failures = 0;
            }
        }
        Ended::Misdirected => back_off(upstream),
        Ended::Failed { reason, load, .. } => match reason {
            Reason::UpstreamRefused => {
                let full = Load {
                    running: upstream.slots.saturating_add(upstream.in_flight_count),
                    waiting: 0,
                    slots: 0,
                    slow_percent: None,
                };
                let has_room = load.is_some_and(|load| load.running < load.slots);
                if has_room {
                    upstream.failure_rate += EWMA_WEIGHT * (1.0 - upstream.failure_rate);
                }
                upstream.record_load(load.unwrap_or(full), decay_ms, now);
            }
            Reason::Cancelled
            | Reason::DeadlineExceeded
            | Reason::Poisoned
            | Reason::IdentityUnknown
            | Reason::UpstreamHeld => {}
            Reason::AnswerTimeout | Reason::AnswerMismatch => {
                upstream.failure_rate += EWMA_WEIGHT * (1.0 - upstream.failure_rate);
                if upstream.failure_rate > MAX_FAILURE_RATE {
                    back_off(upstream);
                }
            }
            _ => {
                upstream.failure_rate += EWMA_WEIGHT * (1.0 - upstream.failure_rate);
                back_off(upstream);
            }
        },
    }
    if upstream.reported.at() > last_report {
        let per_slot = upstream.reported.others() / f64::from(upstream.slots.max(1));
        let distance = usize::from(upstream.distance);
        if let Some(pool) = state.pools.get_mut(&upstream.service) {
            pool.average_load[distance].record(per_slot, now);
        }
    }
}

/// Records the time taken to open a connection, in microseconds. Must be called before the attempt is
/// finished, which clears its upstream.
pub(super) fn record_connect_time(state: &mut State, key: InFlightKey, opened_us: u64) {
    let in_flight = state.in_flight.get(key);
    let Some((_, basis)) = in_flight.and_then(|in_flight| in_flight.upstream) else {
        return;
    };
    #[allow(clippy::cast_precision_loss, reason = "far below 2^53 us")]
    let connect_us = opened_us as f64;
    let average_us = &mut state.connect_us[usize::from(basis.distance)];
    *average_us = if *average_us > 0.0 {
        *average_us + EWMA_WEIGHT * (connect_us - *average_us)
    } else {
        connect_us
    };
}

/// Records whether a first attempt met its objective at its distance, for the choice of local affinity keys.
pub(super) fn record_locality(
    state: &mut State,
    key: InFlightKey,
    basis: Basis,
    ended: Ended,
    now: Micros,
) {
    let Some(in_flight) = state.in_flight.get(key) else {
        return;
    };
    let is_cancelled = matches!(ended, Ended::Failed { reason, .. } if reason == Reason::Cancelled);
    if in_flight.tried.len() > 1 || is_cancelled || basis.preference == Preference::RemoteHome {
        return;
    }
    let Some(pool) = state.pools.get_mut(&in_flight.service) else {
        return;
    };
    let in_time = matches!(ended, Ended::Answered { status, .. } if status < 500)
        && now <= in_flight.arrived.plus_millis(in_flight.route.objective_ms);
    pool.locality
        .record(usize::from(basis.distance), in_time, now);
    if basis.preference == Preference::Spilled {
        pool.locality.record(0, false, now);
    }
}
