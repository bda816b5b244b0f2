//! Tests of the decision buffer.

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
fn oldest_decisions_are_evicted_and_order_is_preserved() {
    let mut state = State::default();
    for at in 0..5 {
        state.record(note(at % 2, at), 3);
    }
    assert_eq!(state.find(RequestId(0)), [note(0, 2), note(0, 4)]);
    assert_eq!(state.find(RequestId(1)), [note(1, 3)]);
    assert_eq!(state.find(RequestId(9)), []);
}
