//! Tests of the tracking of drains.

use {
    super::{
        decide::{Change, Location, progress, record_in_flight, update},
        messages::{Cause, DrainingUpstream},
        state::{MAX_ROWS, State},
    },
    crate::{
        clock::Micros,
        policy::{Drain, Policy},
    },
};

const HERE: Location<'static> = Location {
    vm: "entry-1",
    zone: "tamar-a",
};

fn draining(name: &str, cause: Cause, left: u32) -> DrainingUpstream {
    DrainingUpstream {
        name: name.to_owned(),
        cause,
        left,
    }
}

fn policy(drains: &[Drain]) -> Policy {
    let mut drains = drains.to_vec();
    drains.sort();
    Policy {
        drains,
        ..Policy::default()
    }
}

fn apply(state: &mut State, ms: u64, policy: &Policy, rows: &[DrainingUpstream]) -> Vec<Change> {
    update(state, HERE, policy, rows, Micros::from_millis(ms))
}

#[test]
fn an_ordered_drain_completes_with_the_last_request() {
    let mut state = State::default();
    let drain = Drain::Upstream("u1".to_owned());
    let ordered = policy(std::slice::from_ref(&drain));
    let row = |left| [draining("u1", Cause::Operator, left)];
    let started = Change::Started(drain.clone(), Cause::Operator);
    assert_eq!(apply(&mut state, 10, &ordered, &row(2)), [started]);
    assert!(apply(&mut state, 20, &ordered, &row(1)).is_empty());
    assert_eq!(progress(&state, Micros::from_millis(25))[0].left, 1);
    let done = Change::Done(drain, Cause::Operator, 20);
    assert_eq!(apply(&mut state, 30, &ordered, &row(0)), [done]);
    assert!(apply(&mut state, 40, &ordered, &row(0)).is_empty());
    let row = &progress(&state, Micros::from_millis(90))[0];
    assert_eq!((row.age_ms, row.took_ms), (80, Some(20)));
    apply(&mut state, 50, &Policy::default(), &[]);
    assert!(state.rows.is_empty());
}

#[test]
fn a_leaving_upstream_completes_when_absent_and_may_leave_again() {
    let mut state = State::default();
    let none = Policy::default();
    let rows = [draining("u1", Cause::Leaving, 1)];
    assert_eq!(apply(&mut state, 0, &none, &rows).len(), 1);
    let done = apply(&mut state, 700, &none, &[]);
    let leaving = Drain::Upstream("u1".to_owned());
    assert_eq!(done, [Change::Done(leaving, Cause::Leaving, 700)]);
    assert!(apply(&mut state, 800, &none, &[]).is_empty());
    assert_eq!(apply(&mut state, 900, &none, &rows).len(), 1);
    assert_eq!(progress(&state, Micros::from_millis(950))[0].age_ms, 50);
}

#[test]
fn a_vm_or_zone_drain_counts_local_requests_and_skips_other_vms() {
    let drains = [
        Drain::Vm("entry-1".to_owned()),
        Drain::Vm("entry-2".to_owned()),
        Drain::AvailabilityZone("tamar-a".to_owned()),
        Drain::AvailabilityZone("tamar-b".to_owned()),
    ];
    let mut state = State::default();
    assert_eq!(apply(&mut state, 0, &policy(&drains), &[]).len(), 2);
    assert!(state.has_vm_drain());
    assert!(record_in_flight(&mut state, 3, Micros::from_millis(5)).is_empty());
    assert_eq!(
        record_in_flight(&mut state, 0, Micros::from_millis(9)).len(),
        2
    );
    assert!(!state.has_vm_drain() && state.running() == 0);
}

#[test]
fn completed_drains_are_evicted_oldest_first() {
    let mut state = State::default();
    for at in 0..200 {
        let rows = [draining(&format!("u{at}"), Cause::Expired, 1)];
        apply(&mut state, at, &Policy::default(), &rows);
    }
    assert!(state.rows.len() <= MAX_ROWS);
    let newest = Drain::Upstream("u199".to_owned());
    assert!(state.rows.get(&(newest, Cause::Expired)).is_some());
}
