//! Tests of the slot counts.

use {
    super::{
        decide::{apply_policy, free, notice, take},
        state::State,
    },
    crate::{
        announce::{Announcement, Notice},
        call::{Meta, Reason},
        clock::Micros,
        keys::{KindKey, RequestId, ServiceKey, UpstreamKey, ZoneKey},
        policy::{Drain, Policy},
    },
    slotmap::SlotMap,
};

fn meta() -> Meta {
    Meta {
        id: RequestId(1),
        service: ServiceKey(0),
        kind: KindKey(0),
        origin: ZoneKey(0),
        target: ZoneKey(0),
        deadline: Micros(100),
        hops: 0,
    }
}

fn join(
    state: &mut State,
    keys: &mut SlotMap<UpstreamKey, ()>,
    name: &str,
    slots: u16,
) -> UpstreamKey {
    let key = keys.insert(());
    let announcement = Announcement {
        name: name.to_owned(),
        service: ServiceKey(0),
        address: "127.0.0.1:1".parse().unwrap(),
        slots,
        incarnation: 1,
        load: None,
        leaving: false,
    };
    notice(
        state,
        &Policy::default(),
        Notice::Present { key, announcement },
    );
    key
}

#[test]
fn a_slot_is_never_taken_twice() {
    let (mut state, mut keys) = (State::default(), SlotMap::default());
    join(&mut state, &mut keys, "u1", 2);
    let first = take(&mut state, &meta(), 1, Micros(0)).unwrap();
    take(&mut state, &meta(), 1, Micros(0)).unwrap();
    assert_eq!(
        take(&mut state, &meta(), 1, Micros(0)).unwrap_err().reason,
        Reason::NoSlot
    );
    free(&mut state, first.0);
    free(&mut state, first.0);
    take(&mut state, &meta(), 1, Micros(0)).unwrap();
    assert_eq!(
        take(&mut state, &meta(), 1, Micros(0)).unwrap_err().reason,
        Reason::NoSlot
    );
}

#[test]
fn the_emptier_upstream_is_chosen() {
    let (mut state, mut keys) = (State::default(), SlotMap::default());
    join(&mut state, &mut keys, "u1", 3);
    join(&mut state, &mut keys, "u2", 9);
    for _ in 0..12 {
        take(&mut state, &meta(), 1, Micros(0)).unwrap();
    }
    assert!(state.rows.values().all(|row| row.free() == 0));
}

#[test]
fn absent_and_drained_upstreams_get_no_new_work() {
    let (mut state, mut keys) = (State::default(), SlotMap::default());
    let gone = join(&mut state, &mut keys, "u1", 1);
    join(&mut state, &mut keys, "u2", 1);
    notice(&mut state, &Policy::default(), Notice::Absent { key: gone });
    let policy = Policy {
        drains: vec![Drain::Upstream("u2".to_owned())],
        ..Policy::default()
    };
    apply_policy(&mut state, &policy);
    assert_eq!(
        take(&mut state, &meta(), 1, Micros(0)).unwrap_err().reason,
        Reason::NoUpstream
    );
    apply_policy(&mut state, &Policy::default());
    assert!(take(&mut state, &meta(), 1, Micros(0)).is_ok());
}

#[test]
fn a_late_request_takes_no_slot() {
    let (mut state, mut keys) = (State::default(), SlotMap::default());
    join(&mut state, &mut keys, "u1", 1);
    let late = take(&mut state, &meta(), 1, Micros(100)).unwrap_err();
    assert_eq!(late.reason, Reason::DeadlineExceeded);
    assert!(state.flights.is_empty());
}
