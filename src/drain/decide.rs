//! Begins, follows and ends drains. Without I/O or clock.

use {
    super::{
        messages::{Cause, DrainingUpstream, Progress},
        state::{REMEMBERED, Row, State},
    },
    crate::{
        clock::Micros,
        policy::{Drain, Policy},
    },
};

/// What changed, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A drain began.
    Began(Drain, Cause),
    /// A drain ended after this many milliseconds.
    Done(Drain, Cause, u64),
}

/// This VM and its availability zone, by name.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Name of the VM.
    pub vm: &'a str,
    /// Name of its availability zone.
    pub zone: &'a str,
}

/// Takes in the drains in force and the upstreams that get no new work.
pub fn work(
    state: &mut State,
    place: Place,
    policy: &Policy,
    closing: &[DrainingUpstream],
    now: Micros,
) -> Vec<Change> {
    let ordered = policy.drains.iter().filter(|drain| is_here(place, drain));
    let ordered: Vec<&Drain> = ordered.collect();
    // What an operator has ended is no drain any more; what ended by itself is remembered.
    state
        .rows
        .retain(|(drain, cause), _| *cause != Cause::Operator || ordered.contains(&drain));
    let mut changes = Vec::new();
    for drain in ordered {
        let left = match drain {
            // It may leave, lapse or move as well while it is drained.
            Drain::Upstream(name) => left(closing, name, |_| true),
            // Counted by `count`.
            Drain::Vm(_) | Drain::AvailabilityZone(_) => u32::MAX,
        };
        follow(
            state,
            (drain.clone(), Cause::Operator),
            left,
            now,
            &mut changes,
        );
    }
    follow_upstreams(state, closing, now, &mut changes);
    forget(state);
    changes
}

/// Takes in the number of requests in flight on this VM.
pub fn count(state: &mut State, inflight: usize, now: Micros) -> Vec<Change> {
    let left = u32::try_from(inflight).unwrap_or(u32::MAX);
    let rows = state.rows.rows().iter();
    let whole = rows.filter(|((drain, _), _)| !matches!(drain, Drain::Upstream(_)));
    let whole: Vec<(Drain, Cause)> = whole.map(|(key, _)| key.clone()).collect();
    let mut changes = Vec::new();
    for key in whole {
        follow(state, key, left, now, &mut changes);
    }
    changes
}

/// The progress of every drain, running ones first.
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

/// Upstreams that leave, lapse or move, and those that have run out.
fn follow_upstreams(
    state: &mut State,
    closing: &[DrainingUpstream],
    now: Micros,
    changes: &mut Vec<Change>,
) {
    let own = closing.iter().filter(|row| row.cause != Cause::Operator);
    let mut keys: Vec<(Drain, Cause)> = own
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
        let left = left(closing, name, |cause| cause == key.1);
        // The same upstream may leave again after it came back.
        if left > 0 && state.rows.get(&key).is_some_and(|row| row.done.is_some()) {
            state.rows.remove(&key);
        }
        follow(state, key, left, now, changes);
    }
}

fn follow(
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
        changes.push(Change::Began(key.0.clone(), key.1));
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

/// Drops the oldest of the ended drains that no operator ordered.
fn forget(state: &mut State) {
    while state.rows.len() > REMEMBERED {
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

fn left(closing: &[DrainingUpstream], name: &str, counts: impl Fn(Cause) -> bool) -> u32 {
    let rows = closing
        .iter()
        .filter(|row| row.name == name && counts(row.cause));
    rows.map(|row| row.left).sum()
}

fn is_here(place: Place, drain: &Drain) -> bool {
    match drain {
        Drain::Upstream(_) => true,
        Drain::Vm(name) => name == place.vm,
        Drain::AvailabilityZone(name) => name == place.zone,
    }
}

fn millis(from: Micros, to: Micros) -> u64 {
    u64::try_from(to.since(from).as_millis()).unwrap_or(u64::MAX)
}
