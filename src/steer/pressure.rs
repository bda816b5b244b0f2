//! Applies what the responses of upstreams say about further requests.

use {
    super::{
        place::is_in_homes,
        state::{InFlight, Pool, State},
    },
    crate::{
        backpressure::{self, Change, Notice},
        clock::Micros,
        courier::{Ended, Target},
        keys::{InFlightKey, UpstreamKey},
        observe::{Event, report_with},
    },
};

/// Records what a response of `target` said. Must be called before the attempt is finished, which may send further
/// requests.
pub(super) fn heed(state: &mut State, target: &Target, notice: Notice, random: u64, now: Micros) {
    if notice.is_leaving {
        record_leaving(state, target, now);
    }
    let Some(until) = notice.rest_until else {
        return;
    };
    // The same incarnation may have another key by now, or none.
    let key = state.ids.get(&target.id).copied();
    let row = key.and_then(|key| state.upstreams.get(key));
    let key = key.filter(|_| row.is_some_and(|row| row.born == target.born));
    let pressure = &mut state.pressure;
    if let Some(key) = key {
        let change = backpressure::record_rest(pressure, key, until, random, now);
        report_change(state, key, change, now);
    } else {
        let incarnation = (&target.id, target.born);
        backpressure::record_unlisted_rest(pressure, incarnation, until, random, now);
    }
}

/// Stops all requests to the incarnation that `target` names.
fn record_leaving(state: &mut State, target: &Target, now: Micros) {
    if !backpressure::record_leaving(&mut state.pressure, &target.id, target.born, now) {
        return;
    }
    let key = state.ids.get(&target.id).copied();
    if let Some(upstream) = key.and_then(|key| state.upstreams.get_mut(key))
        && upstream.born <= target.born
    {
        upstream.eligible = false;
    }
    report_with(
        Event::UPSTREAM_WITHDRAWN,
        &[
            ("upstream", (*target.id).into()),
            ("born", target.born.into()),
        ],
        format_args!("{}, incarnation {}", target.id, target.born),
    );
}

/// Records that an upstream is sent a request.
pub(super) fn record_sent(
    state: &mut State,
    upstream: UpstreamKey,
    in_flight: InFlightKey,
    now: Micros,
) {
    let change = backpressure::record_sent(&mut state.pressure, upstream, in_flight, now);
    report_change(state, upstream, change, now);
}

/// Records the end of an attempt at an upstream.
pub(super) fn record_end(
    state: &mut State,
    upstream: UpstreamKey,
    in_flight: InFlightKey,
    ended: Ended,
    now: Micros,
) {
    let is_answered = matches!(ended, Ended::Answered { status, .. } if status < 500);
    let pressure = &mut state.pressure;
    let change = backpressure::record_end(pressure, upstream, in_flight, is_answered, now);
    report_change(state, upstream, change, now);
}

/// Time until which all upstreams that may serve a request at all rest, if they do.
pub(super) fn rest_end(
    state: &State,
    pool: &Pool,
    in_flight: &InFlight,
    now: Micros,
) -> Option<Micros> {
    let members = pool.keys().filter(|key| {
        let upstream = state.upstreams.get(**key);
        upstream.is_some_and(|row| row.eligible && is_in_homes(state, in_flight, row))
    });
    let free_at = members.map(|key| backpressure::free_at(&state.pressure, *key, now));
    free_at.min().filter(|end| *end > now)
}

fn report_change(state: &State, upstream: UpstreamKey, change: Option<Change>, now: Micros) {
    let (Some(change), Some(row)) = (change, state.upstreams.get(upstream)) else {
        return;
    };
    let (event, until) = match change {
        Change::Resting(until) => (Event::UPSTREAM_RESTING, until),
        Change::Probing => (Event::UPSTREAM_PROBED, now),
        Change::Returning => (Event::UPSTREAM_RETURNING, now),
        Change::Returned => (Event::UPSTREAM_RETURNED, now),
    };
    let pause_ms = until.since(now).as_millis();
    report_with(
        event,
        &[
            ("upstream", (*row.id).into()),
            ("born", row.born.into()),
            ("pause_ms", pause_ms.into()),
        ],
        format_args!(
            "{}, incarnation {}, pause of {pause_ms} ms",
            row.id, row.born
        ),
    );
}
