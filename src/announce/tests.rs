//! Tests of leases.

use {
    super::{
        decide::{announce, lapse},
        messages::{Announcement, Notice},
        settings::Settings,
        state::State,
    },
    crate::{clock::Micros, keys::ServiceKey},
};

fn said(incarnation: u64) -> Announcement {
    Announcement {
        name: "u1".to_owned(),
        service: ServiceKey(0),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 3,
        incarnation,
        load: None,
        leaving: false,
    }
}

fn hear(state: &mut State, at: u64, said: Announcement) -> Vec<Notice> {
    announce(state, Settings::default(), Micros::from_millis(at), said)
}

#[test]
fn a_lease_lapses_without_renewal() {
    let mut state = State::default();
    hear(&mut state, 0, said(1));
    hear(&mut state, 1_500, said(1));
    assert!(lapse(&mut state, Micros::from_millis(2_000)).is_empty());
    assert_eq!(lapse(&mut state, Micros::from_millis(3_500)).len(), 1);
    assert!(state.names.is_empty());
}

#[test]
fn a_restart_gets_a_new_key_and_late_words_of_the_old_life_are_ignored() {
    let mut state = State::default();
    hear(&mut state, 0, said(1));
    let notices = hear(&mut state, 1, said(2));
    assert!(matches!(
        notices[..],
        [Notice::Absent { .. }, Notice::Present { .. }]
    ));
    let late = Announcement {
        leaving: true,
        ..said(1)
    };
    assert!(hear(&mut state, 2, late).is_empty());
    assert_eq!(state.rows.len(), 1);
}

#[test]
fn a_leaving_upstream_is_absent_at_once() {
    let mut state = State::default();
    hear(&mut state, 0, said(1));
    let leaving = Announcement {
        leaving: true,
        ..said(1)
    };
    assert!(matches!(
        hear(&mut state, 1, leaving)[..],
        [Notice::Absent { .. }]
    ));
}
