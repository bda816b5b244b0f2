//! Encodings of log lines: human-readable text and machine-readable JSON.

use {super::messages::Line, jiff::Timestamp, serde_json::Value};

/// Human-readable form of a line, without the line break.
///
/// ```
/// # use siskinstep::lines::{Line, text};
/// # let line = Line { at: std::time::UNIX_EPOCH, level: log::Level::Warn, target: "t".into(),
/// #     text: "E1311 refused".into(), fields: Vec::new(), omitted: 2 };
/// assert_eq!(text(&line), "[1970-01-01T00:00:00Z WARN  t] E1311 refused (2 earlier lines omitted)");
/// ```
#[must_use]
pub fn text(line: &Line) -> String {
    let omitted = match line.omitted {
        0 => String::new(),
        count => format!(" ({count} earlier lines omitted)"),
    };
    let (time, level) = (format_time(line, 0), line.level);
    format!("[{time} {level:<5} {}] {}{omitted}", line.target, line.text)
}

/// Machine-readable form of a line: a JSON object without any line break.
///
/// ```
/// # use siskinstep::lines::{Line, json};
/// # let line = Line { at: std::time::UNIX_EPOCH, level: log::Level::Warn, target: "t".into(),
/// #     text: "refused".into(), fields: vec![("reason".into(), "no_slot".into())], omitted: 0 };
/// let row: serde_json::Value = serde_json::from_str(&json(&line)).unwrap();
/// assert_eq!((row["level"].as_str(), row["reason"].as_str()), (Some("warn"), Some("no_slot")));
/// ```
#[must_use]
pub fn json(line: &Line) -> String {
    let mut row = serde_json::Map::new();
    let mut put = |key: &str, value: String| row.insert(key.to_owned(), Value::String(value));
    put("time", format_time(line, 6));
    put("level", line.level.as_str().to_lowercase());
    for (key, value) in &line.fields {
        put(key, value.clone());
    }
    put("text", line.text.clone());
    put("module", line.target.clone());
    if line.omitted > 0 {
        put("omitted", line.omitted.to_string());
    }
    Value::Object(row).to_string()
}

/// Time of a line in RFC 3339, with `digits` decimal places of the second.
fn format_time(line: &Line, digits: usize) -> String {
    let time = Timestamp::try_from(line.at);
    // A clock outside the range of the calendar is shown as the Unix epoch.
    let time = time.unwrap_or(Timestamp::UNIX_EPOCH);
    format!("{time:.digits$}")
}
