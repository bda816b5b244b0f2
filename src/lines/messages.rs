//! Messages to the duty that writes log lines.

use {
    log::{
        Level, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    std::time::SystemTime,
};

/// A log line, independent of its encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Wall-clock time at which the line was logged.
    pub at: SystemTime,
    /// Severity.
    pub level: Level,
    /// Target of the record, by default the module that logged it.
    pub target: String,
    /// Human-readable text.
    pub text: String,
    /// Machine-readable fields as name and value. The field `event` holds an event's number.
    pub fields: Vec<(String, String)>,
    /// Number of lines omitted before this one: those of the same rate key, and any that did not fit the
    /// ring.
    pub omitted: u64,
}

impl Line {
    /// Converts a record of the `log` crate.
    pub(super) fn from_record(record: &Record<'_>) -> Self {
        struct Fields(Vec<(String, String)>);
        impl<'k> VisitSource<'k> for Fields {
            fn visit_pair(&mut self, key: Key<'k>, value: Value<'k>) -> Result<(), Error> {
                self.0.push((key.to_string(), value.to_string()));
                Ok(())
            }
        }
        let mut fields = Fields(Vec::new());
        let visited = record.key_values().visit(&mut fields);
        let mut line = Self {
            at: SystemTime::now(),
            level: record.level(),
            target: record.target().to_owned(),
            text: record.args().to_string(),
            fields: fields.0,
            omitted: 0,
        };
        if let Err(error) = visited {
            // Retains the fields read so far and adds the error, which shows that fields are missing.
            line.fields.push(("fields".to_owned(), error.to_string()));
        }
        line
    }

    /// Key for rate limiting: the event's number, or the target for lines without one.
    pub(super) fn rate_key(&self) -> &str {
        let event = self.fields.iter().find(|(key, _)| key == "event");
        event.map_or(&self.target, |(_, number)| number)
    }
}
