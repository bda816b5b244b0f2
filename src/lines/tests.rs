//! What a flood, a reader that stops, and a reader of the lines get.

use {
    super::{Line, json, limit::Limit, text, thread::Logger},
    crate::{clock::Micros, ring},
    log::{Level, Log, Record},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

fn line(event: &str, level: Level) -> Line {
    Line {
        at: SystemTime::UNIX_EPOCH,
        level,
        target: "siskinstep::steer".to_owned(),
        text: format!("{event} something"),
        fields: vec![("event".to_owned(), event.to_owned())],
        omitted: 0,
    }
}

#[test]
fn a_flood_of_one_event_leaves_room_for_others_and_is_counted() {
    let mut limit = Limit::default();
    let mut written = 0;
    for step in 0..10_000_u64 {
        let mut row = line("E1311", Level::Warn);
        written += u64::from(limit.take(&mut row, Micros(step * 1_000)));
    }
    // The burst and ten seconds of the rate.
    assert!((690..=710).contains(&written), "{written}");
    let mut other = line("E2001", Level::Info);
    assert!(limit.take(&mut other, Micros(10_000_000)));
    assert_eq!(other.omitted, 0);
    let mut next = line("E1311", Level::Warn);
    assert!(limit.take(&mut next, Micros(12_000_000)));
    assert!(next.omitted > 0, "the next one says how many were left out");
}

#[test]
fn what_says_that_nothing_is_wrong_is_written_less_often() {
    let count = |level| {
        let mut limit = Limit::default();
        let rows = (0..10_000_u64).filter(|step| {
            let mut row = line("E1310", level);
            limit.take(&mut row, Micros(step * 1_000))
        });
        rows.count()
    };
    assert!(count(Level::Info) < count(Level::Warn));
}

/// Nobody takes lines from the ring: what makes them goes on, and what is left out is counted. Calm
/// lines leave half of it to the others.
#[test]
fn a_reader_that_has_stopped_stops_nobody() {
    let (sender, _ring) = ring::bounded(1_024);
    let logger = Logger::new(sender.clone());
    let record = |level| {
        let args = format_args!("a line");
        let target = "siskinstep";
        logger.log(
            &Record::builder()
                .level(level)
                .target(target)
                .args(args)
                .build(),
        );
    };
    for _ in 0..2_000 {
        record(Level::Info);
    }
    assert_eq!((sender.depth(), logger.lost()), (512, 1_488));
    for _ in 0..2_000 {
        record(Level::Warn);
    }
    assert_eq!((sender.depth(), logger.lost()), (1_024, 1_488));
}

#[test]
fn one_line_is_one_object_whatever_it_says() {
    let mut row = line("E1312", Level::Warn);
    row.text = "a \"quoted\"\nsecond line".to_owned();
    row.at = UNIX_EPOCH + Duration::from_micros(1_500_001);
    row.omitted = 3;
    let json = json(&row);
    assert!(!json.contains('\n'), "{json}");
    let value: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(value["event"], "E1312");
    assert_eq!(value["time"], "1970-01-01T00:00:01.500001Z");
    assert_eq!(value["omitted"], "3");
    assert!(text(&row).starts_with("[1970-01-01T00:00:01Z WARN  siskinstep::steer] "));
}
