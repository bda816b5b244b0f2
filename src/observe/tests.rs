//! Tests of the catalogue and the metrics.

use super::{Event, events};

const PAGE: &str = include_str!("../../docs/EVENTS.md");

#[test]
fn page_and_catalogue_agree() {
    assert!(
        PAGE.contains(&events::table()),
        "docs/EVENTS.md must hold exactly this table:\n{}",
        events::table()
    );
}

#[test]
fn codes_rise() {
    let codes: Vec<u16> = Event::ALL.iter().map(|event| event.code).collect();
    assert!(codes.is_sorted_by(|a, b| a < b));
}
