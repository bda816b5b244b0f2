//! Tests of the beliefs about upstreams.

use {
    super::{State, forget, has_left, record_leaving},
    crate::clock::Micros,
};

/// Guards against departures that are remembered without end, and against an upstream without an incarnation that is
/// never used again.
#[test]
fn departures_of_unlisted_upstreams_are_forgotten() {
    let mut state = State::default();
    record_leaving(&mut state, &"listed".into(), 5, Micros(0));
    record_leaving(&mut state, &"gone".into(), 5, Micros(0));
    record_leaving(&mut state, &"unnumbered".into(), 0, Micros(0));
    forget(&mut state, |_| true, Micros(0));
    assert!(has_left(&state, "unnumbered", 0));
    let is_listed = |id: &str| id == "listed";
    forget(&mut state, is_listed, Micros::from_millis(599_000));
    assert!(has_left(&state, "gone", 5) && !has_left(&state, "unnumbered", 0));
    forget(&mut state, is_listed, Micros::from_millis(600_000));
    assert!(has_left(&state, "listed", 5) && !has_left(&state, "gone", 5));
}
