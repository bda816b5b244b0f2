//! Tracks the start, progress and end of drains. Without I/O or clock.

use {
    super::{
        messages::{Cause, DrainingUpstream, Progress},
        state::{MAX_ROWS, Row, State},
    },
    crate::{
        clock::Micros,
        policy::{Drain, Policy},
    },
};

/// Change of a drain, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A drain started.
    Started(Drain, Cause),
    /// A drain completed after this many milliseconds.
    Done(Drain, Cause, u64),
}

/// Names of this VM and its availability zone.
#[derive(Clone, Copy, Debug)]
pub struct Location<'a> {
    /// Name of the VM.
    pub vm: &'a str,
    /// Name of its availability zone.
    pub zone: &'a str,
}

/// Applies the drains in force and the upstreams that get no new requests. Returns what changed.
pub fn update(
    state: &mut State,
    location: Location,
    policy: &Policy,
    draining: &[DrainingUpstream],
    now: Micros,
) -> Vec<Change> {
    let ordered = policy
        .drains
        .iter()
        .filter(|drain| is_local(location, drain));
    let ordered: Vec<&Drain> = ordered.collect();
    // Drains that the operator has ended are removed. Drains with another cause stay listed after
    // they completed, until they are evicted.
    state
        .rows
        .retain(|(drain, cause), _| *cause != Cause::Operator || ordered.contains(&drain));
    let mut changes = Vec::new();
    for drain in ordered {
        let left = match drain {
            // Any cause counts: the upstream may also leave, expire or move while it is drained.
            Drain::Upstream(name) => in_flight(draining, name, |_| true),
            // Unknown here: set by `record_in_flight`.
            Drain::Vm(_) | Drain::AvailabilityZone(_) => u32::MAX,
        };
        track(
            state,
            (drain.clone(), Cause::Operator),
            left,
            now,
            &mut changes,
        );
    }
    track_upstreams(state, draining, now, &mut changes);
    evict(state);
    changes
}

/// Records the number of requests in flight on this VM. Returns what changed.
pub fn record_in_flight(state: &mut State, in_flight: usize, now: Micros) -> Vec<Change> {
    let left = u32::try_from(in_flight).unwrap_or(u32::MAX);
    let rows = state.rows.rows().iter();
    let keys = rows.filter(|((drain, _), _)| !matches!(drain, Drain::Upstream(_)));
    let keys: Vec<(Drain, Cause)> = keys.map(|(key, _)| key.clone()).collect();
    let mut changes = Vec::new();
    for key in keys {
        track(state, key, left, now, &mut changes);
    }
    changes
}

/// Progress of every drain, running ones first.
#[must_use]
pub fn progress(state: &State, now: Micros) -> Vec<Progress> {
    let rows = state.rows.rows().iter();
    let rows = rows.map(|((drain, cause), row)| Progress {
        drain: drain.clone(),
        cause: *cause,
        age_ms: millis(row.since, now),
        left: row.left,
        took_ms: row.done.map(|done| millis(row.since, done)),
    });
    let mut rows: Vec<Progress> = rows.collect();
    rows.sort_by_key(|row| row.took_ms.is_some());
    rows
}

/// Tracks upstreams that leave, expire or move, until they have no request in flight.
fn track_upstreams(
    state: &mut State,
    draining: &[DrainingUpstream],
    now: Micros,
    changes: &mut Vec<Change>,
) {
    let automatic = draining.iter().filter(|row| row.cause != Cause::Operator);
    let mut keys: Vec<(Drain, Cause)> = automatic
        .map(|row| (Drain::Upstream(row.name.clone()), row.cause))
        .collect();
    let rows = state.rows.rows().iter();
    let running = rows.filter(|((_, cause), row)| *cause != Cause::Operator && row.done.is_none());
    keys.extend(running.map(|(key, _)| key.clone()));
    keys.sort();
    keys.dedup();
    for key in keys {
        let Drain::Upstream(name) = &key.0 else {
            continue;
        };
        let left = in_flight(draining, name, |cause| cause == key.1);
        // The upstream may have re-registered and be draining again: this is a new drain.
        if left > 0 && state.rows.get(&key).is_some_and(|row| row.done.is_some()) {
            state.rows.remove(&key);
        }
        track(state, key, left, now, changes);
    }
}

fn track(
    state: &mut State,
    key: (Drain, Cause),
    left: u32,
    now: Micros,
    changes: &mut Vec<Change>,
) {
    if state.rows.get(&key).is_none() {
        let row = Row {
            since: now,
            left,
            done: None,
        };
        state.rows.insert(key.clone(), row);
        changes.push(Change::Started(key.0.clone(), key.1));
    }
    let Some(row) = state.rows.get_mut(&key) else {
        return;
    };
    if left != u32::MAX {
        row.left = left;
    }
    if left == 0 && row.done.is_none() {
        row.done = Some(now);
        changes.push(Change::Done(key.0, key.1, millis(row.since, now)));
    }
}

/// Evicts the oldest completed drains that no operator ordered.
fn evict(state: &mut State) {
    while state.rows.len() > MAX_ROWS {
        let rows = state.rows.rows().iter();
        let ended =
            rows.filter(|((_, cause), row)| *cause != Cause::Operator && row.done.is_some());
        let Some((key, _)) = ended.min_by_key(|(_, row)| row.done) else {
            return;
        };
        let key = key.clone();
        state.rows.retain(|other, _| *other != key);
    }
}

fn in_flight(draining: &[DrainingUpstream], name: &str, matches: impl Fn(Cause) -> bool) -> u32 {
    let rows = draining
        .iter()
        .filter(|row| row.name == name && matches(row.cause));
    rows.map(|row| row.left).sum()
}

fn is_local(location: Location, drain: &Drain) -> bool {
    match drain {
        Drain::Upstream(_) => true,
        Drain::Vm(name) => name == location.vm,
        Drain::AvailabilityZone(name) => name == location.zone,
    }
}

fn millis(from: Micros, to: Micros) -> u64 {
    u64::try_from(to.since(from).as_millis()).unwrap_or(u64::MAX)
}
