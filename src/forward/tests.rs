//! Tests of the choice of a peer and of the encoding.

use {
    super::{
        decide::{choose, count},
        encode,
        messages::{Forwarded, Peer},
        state::State,
    },
    crate::{
        call::{Answer, Reason, Refusal},
        fuzz,
        keys::ZoneKey,
    },
};

fn peer(name: &str, zone: u16, free: u32) -> Peer {
    Peer {
        name: name.to_owned(),
        zone: ZoneKey(zone),
        address: "127.0.0.1:1".parse().unwrap(),
        free,
    }
}

fn chosen(state: &State) -> String {
    choose(state, ZoneKey(1)).unwrap().name
}

#[test]
fn requests_in_flight_count_against_free_slots() {
    let mut state = State::default();
    state.replace(vec![peer("a", 1, 3), peer("b", 1, 2), peer("c", 2, 9)]);
    assert_eq!(chosen(&state), "a");
    count(&mut state, "a", true);
    count(&mut state, "a", true);
    assert_eq!(chosen(&state), "b");
    state.replace(vec![peer("a", 1, 3), peer("b", 1, 2)]);
    assert_eq!(chosen(&state), "b");
    count(&mut state, "a", false);
    count(&mut state, "a", false);
    assert_eq!(chosen(&state), "a");
}

#[test]
fn a_zone_without_peers_has_none() {
    assert!(choose(&State::default(), ZoneKey(1)).is_none());
}

#[test]
fn outcomes_survive_the_wire() {
    let answer = Answer {
        status: 201,
        headers: vec![],
        body: "done".into(),
    };
    for outcome in [Ok(answer), Err(Refusal::unknown(Reason::AnswerCut))] {
        let bytes = encode::outcome(&outcome).unwrap();
        assert_eq!(encode::read_outcome(&bytes), Some(outcome));
    }
    assert_eq!(encode::read_outcome(b"\xff\xff"), None);
}

#[test]
fn any_bytes_are_read_or_refused() {
    fuzz::check(500, |bytes: &Vec<u8>| {
        // Neither panics.
        let _ = encode::read_outcome(bytes);
        let _ = postcard::from_bytes::<Forwarded>(bytes);
    });
}
