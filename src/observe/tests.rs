//! Tests of the event catalogue.

use super::{Event, events};

const PAGE: &str = include_str!("../../docs/EVENTS.md");

#[test]
fn events_page_contains_the_catalogue() {
    assert!(
        PAGE.contains(&events::table()),
        "docs/EVENTS.md must contain exactly this table:\n{}",
        events::table()
    );
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    let codes: Vec<u16> = Event::ALL.iter().map(|event| event.code).collect();
    assert!(codes.is_sorted_by(|a, b| a < b));
}
