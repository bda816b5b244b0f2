//! Tests of what is remembered.

use {
    super::{
        messages::{Note, Step},
        state::State,
    },
    crate::{clock::Micros, keys::RequestId},
};

fn note(request: u64, at: u64) -> Note {
    Note {
        request: RequestId(request),
        at: Micros(at),
        step: Step::Answered { status: 200 },
    }
}

#[test]
fn the_oldest_are_forgotten_and_order_is_kept() {
    let mut state = State::default();
    for at in 0..5 {
        state.remember(note(at % 2, at), 3);
    }
    assert_eq!(state.of(RequestId(0)), [note(0, 2), note(0, 4)]);
    assert_eq!(state.of(RequestId(1)), [note(1, 3)]);
    assert_eq!(state.of(RequestId(9)), []);
}
