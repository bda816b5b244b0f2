//! Tests of the progress of drains.

use {
    super::{
        decide::{Change, Place, count, progress, work},
        messages::{Cause, DrainingUpstream},
        state::{REMEMBERED, State},
    },
    crate::{
        clock::Micros,
        policy::{Drain, Policy},
    },
};

const HERE: Place<'static> = Place {
    vm: "entry-1",
    zone: "tamar-a",
};

fn closing(name: &str, cause: Cause, left: u32) -> DrainingUpstream {
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

fn hear(state: &mut State, ms: u64, policy: &Policy, rows: &[DrainingUpstream]) -> Vec<Change> {
    work(state, HERE, policy, rows, Micros::from_millis(ms))
}

#[test]
fn an_operators_drain_ends_with_the_last_request() {
    let mut state = State::default();
    let drain = Drain::Upstream("u1".to_owned());
    let ordered = policy(std::slice::from_ref(&drain));
    let row = |left| [closing("u1", Cause::Operator, left)];
    let began = Change::Began(drain.clone(), Cause::Operator);
    assert_eq!(hear(&mut state, 10, &ordered, &row(2)), [began]);
    assert!(hear(&mut state, 20, &ordered, &row(1)).is_empty());
    assert_eq!(progress(&state, Micros::from_millis(25))[0].left, 1);
    let done = Change::Done(drain, Cause::Operator, 20);
    assert_eq!(hear(&mut state, 30, &ordered, &row(0)), [done]);
    assert!(hear(&mut state, 40, &ordered, &row(0)).is_empty());
    let shown = &progress(&state, Micros::from_millis(90))[0];
    assert_eq!((shown.age_ms, shown.took_ms), (80, Some(20)));
    hear(&mut state, 50, &Policy::default(), &[]);
    assert!(state.rows.is_empty());
}

#[test]
fn a_leaving_upstream_is_done_when_it_is_gone_and_may_leave_again() {
    let mut state = State::default();
    let none = Policy::default();
    let rows = [closing("u1", Cause::Leaving, 1)];
    assert_eq!(hear(&mut state, 0, &none, &rows).len(), 1);
    let gone = hear(&mut state, 700, &none, &[]);
    let leaving = Drain::Upstream("u1".to_owned());
    assert_eq!(gone, [Change::Done(leaving, Cause::Leaving, 700)]);
    assert!(hear(&mut state, 800, &none, &[]).is_empty());
    assert_eq!(hear(&mut state, 900, &none, &rows).len(), 1);
    assert_eq!(progress(&state, Micros::from_millis(950))[0].age_ms, 50);
}

#[test]
fn a_drain_of_this_vm_or_zone_counts_its_requests_and_others_are_not_shown() {
    let drains = [
        Drain::Vm("entry-1".to_owned()),
        Drain::Vm("entry-2".to_owned()),
        Drain::AvailabilityZone("tamar-a".to_owned()),
        Drain::AvailabilityZone("tamar-b".to_owned()),
    ];
    let mut state = State::default();
    assert_eq!(hear(&mut state, 0, &policy(&drains), &[]).len(), 2);
    assert!(state.is_counting());
    assert!(count(&mut state, 3, Micros::from_millis(5)).is_empty());
    assert_eq!(count(&mut state, 0, Micros::from_millis(9)).len(), 2);
    assert!(!state.is_counting() && state.running() == 0);
}

#[test]
fn ended_drains_are_forgotten_oldest_first() {
    let mut state = State::default();
    for at in 0..200 {
        let rows = [closing(&format!("u{at}"), Cause::Expired, 1)];
        hear(&mut state, at, &Policy::default(), &rows);
    }
    assert!(state.rows.len() <= REMEMBERED);
    let newest = Drain::Upstream("u199".to_owned());
    assert!(state.rows.get(&(newest, Cause::Expired)).is_some());
}
