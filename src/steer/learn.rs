//! What the ends of attempts say of upstreams: how long work takes, who is slow, full or failing.

use {
    super::state::{Basis, KEPT, State, Upstream},
    crate::{
        call::Reason,
        clock::Micros,
        courier::{Ended, Load},
        keys::{FlightKey, UpstreamKey},
    },
};

/// Weight of the newest attempt in a moving average.
const NEWEST: f64 = 0.1;
/// Part of failed attempts from which an upstream rests.
const BAD: f64 = 0.5;
/// Times the usual work that one answer counts for at most.
const MOST_SLOW: f64 = 10.0;

/// What an answer says of the time that work takes, here and at this upstream. One that did not come in
/// time took longer than that.
pub(super) fn measure(
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
    #[allow(clippy::cast_precision_loss, reason = "microseconds of one request")]
    let work = took_us as f64 - state.travel[distance];
    // With so many ahead of it that it had to wait, work is a part of it.
    let slots = f64::from(upstream.slots.max(1));
    let work = work.max(0.0) * slots / (basis.load + 1.0).max(slots);
    let slow = upstream.slowness(now);
    let all = &mut pool.work[distance];
    *all += NEWEST * (work / slow.max(1.0) - *all);
    let usual = if basis.known {
        &mut pool.known
    } else {
        &mut pool.unsure[distance][basis.rank.min(KEPT - 1)]
    };
    let ratio = work / usual.max(1.0);
    // What a slow upstream takes says little of the others.
    *usual += NEWEST * (work / slow.max(1.0) - *usual);
    upstream.slow = (slow + NEWEST * (ratio.min(MOST_SLOW) - slow), now);
}

/// What the end of an attempt says of its upstream.
pub(super) fn learn(state: &mut State, key: UpstreamKey, ended: Ended, now: Micros) {
    let (rest_ms, most_ms) = (state.settings.rest_ms, state.settings.rest_most_ms);
    let Some(upstream) = state.upstreams.get_mut(key) else {
        return;
    };
    upstream.own = upstream.own.saturating_sub(1);
    let rest = |upstream: &mut Upstream| {
        let ms = rest_ms
            .saturating_mul(1 << upstream.fails.min(16))
            .min(most_ms);
        upstream.rests = upstream.rests.max(now.plus_millis(ms));
        upstream.fails += 1;
    };
    let before = upstream.told.at;
    match ended {
        Ended::Answered { status, load } => {
            if let Some(load) = load {
                upstream.hear(load, now);
            }
            let failed = if status >= 500 { 1.0 } else { 0.0 };
            upstream.bad += NEWEST * (failed - upstream.bad);
            if status >= 500 && upstream.bad > BAD {
                rest(upstream);
            } else if status < 500 {
                upstream.fails = 0;
            }
        }
        Ended::Misdirected => rest(upstream),
        Ended::Failed { reason, load, .. } => match reason {
            Reason::UpstreamRefused => {
                let full = Load {
                    running: upstream.slots + upstream.own,
                    waiting: 0,
                    slots: 0,
                };
                let has_room = load.is_some_and(|load| load.running < load.slots);
                if has_room {
                    upstream.bad += NEWEST * (1.0 - upstream.bad);
                }
                upstream.hear(load.unwrap_or(full), now);
            }
            Reason::Cancelled | Reason::DeadlineExceeded => {}
            Reason::AnswerTimeout | Reason::AnswerMismatch => {
                upstream.bad += NEWEST * (1.0 - upstream.bad);
                if upstream.bad > BAD {
                    rest(upstream);
                }
            }
            _ => {
                upstream.bad += NEWEST * (1.0 - upstream.bad);
                rest(upstream);
            }
        },
    }
    if upstream.told.at > before {
        let share = upstream.told.others / f64::from(upstream.slots.max(1));
        let distance = usize::from(upstream.distance);
        if let Some(pool) = state.pools.get_mut(&upstream.service) {
            pool.usual[distance].note(share, now);
        }
    }
}

/// A connection was opened in so many microseconds, for the attempt that is about to be ended.
pub(super) fn travelled(state: &mut State, key: FlightKey, opened_us: u64) {
    let flight = state.flights.get(key);
    let Some((_, basis)) = flight.and_then(|flight| flight.upstream) else {
        return;
    };
    #[allow(clippy::cast_precision_loss, reason = "microseconds of one connection")]
    let opened = opened_us as f64;
    let travel = &mut state.travel[usize::from(basis.distance)];
    *travel = if *travel > 0.0 {
        *travel + NEWEST * (opened - *travel)
    } else {
        opened
    };
}
