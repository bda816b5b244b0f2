//! Tests of rate limiting, of a stalled reader and of the JSON encoding.

use {
    super::{Line, json, limit::RateLimiter, text, thread::Logger},
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
fn a_flood_of_one_event_is_limited_and_counted_and_does_not_affect_others() {
    let mut limiter = RateLimiter::default();
    let mut written = 0;
    for step in 0..10_000_u64 {
        let mut row = line("E1311", Level::Warn);
        written += u64::from(limiter.admit(&mut row, Micros(step * 1_000)));
    }
    // The burst plus ten seconds at the refill rate.
    assert!((690..=710).contains(&written), "{written}");
    let mut other = line("E2001", Level::Info);
    assert!(limiter.admit(&mut other, Micros(10_000_000)));
    assert_eq!(other.omitted, 0);
    let mut next = line("E1311", Level::Warn);
    assert!(limiter.admit(&mut next, Micros(12_000_000)));
    assert!(
        next.omitted > 0,
        "the next line has the count of omitted lines"
    );
}

#[test]
fn info_lines_have_a_lower_rate_limit_than_warnings() {
    let count = |level| {
        let mut limiter = RateLimiter::default();
        let rows = (0..10_000_u64).filter(|step| {
            let mut row = line("E1310", level);
            limiter.admit(&mut row, Micros(step * 1_000))
        });
        rows.count()
    };
    assert!(count(Level::Info) < count(Level::Warn));
}

/// Guards against a stalled reader that blocks logging threads. The ring is never read here: surplus lines
/// are dropped and counted, and info lines leave half of the ring to warnings and errors.
#[test]
fn a_stalled_reader_does_not_block_logging() {
    let (sender, _ring) = ring::bounded(1_024);
    let logger = Logger::new(sender.clone());
    let log_line = |level| {
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
        log_line(Level::Info);
    }
    assert_eq!((sender.depth(), logger.take_dropped()), (512, 1_488));
    for _ in 0..2_000 {
        log_line(Level::Warn);
    }
    assert_eq!((sender.depth(), logger.take_dropped()), (1_024, 1_488));
}

#[test]
fn a_line_break_in_the_text_stays_within_one_json_line() {
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
