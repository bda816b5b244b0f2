//! What the duty is sent.

use {
    log::{
        Level, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    std::time::SystemTime,
};

/// One log line, apart from how it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When it was made.
    pub at: SystemTime,
    /// How grave it is.
    pub level: Level,
    /// Module that made it.
    pub target: String,
    /// What it says, for people.
    pub text: String,
    /// What it says, by name, for programs. An event's number is `event`.
    pub fields: Vec<(String, String)>,
    /// Lines of the same kind that were left out before it.
    pub omitted: u64,
}

impl Line {
    /// Takes a record of the `log` crate.
    pub(super) fn of(record: &Record<'_>) -> Self {
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
            // What could be read stays; the line says that more was meant.
            line.fields.push(("fields".to_owned(), error.to_string()));
        }
        line
    }

    /// What lines are counted by: the event's number, or the module.
    pub(super) fn kind(&self) -> &str {
        let event = self.fields.iter().find(|(key, _)| key == "event");
        event.map_or(&self.target, |(_, number)| number)
    }
}
