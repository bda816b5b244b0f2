//! Reads one object of a settings file and collects every finding with its JSON path.

use {
    serde_json::{Map, Value},
    std::{
        fmt::{self, Display},
        net::SocketAddr,
        ops::RangeInclusive,
    },
};

/// One thing wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// JSON path, such as `$.slots.ramp_ms`.
    pub path: String,
    /// What is wrong and what is allowed.
    pub text: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// One object of the file while it is being read.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    rows: Option<&'a Map<String, Value>>,
    used: Vec<&'static str>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> Section<'a> {
    /// Starts reading `value`, an object at `path`.
    ///
    /// ```
    /// use siskinstep::settings::section::Section;
    /// let value = serde_json::json!({"ramp_ms": 5});
    /// let mut findings = vec![];
    /// let mut section = Section::new("$".into(), Some(&value), &mut findings);
    /// assert_eq!(section.number("ramp_ms", 1, 0..=9), 5);
    /// section.finish();
    /// assert!(findings.is_empty());
    /// ```
    pub fn new(path: String, value: Option<&'a Value>, findings: &'a mut Vec<Finding>) -> Self {
        let rows = value.and_then(Value::as_object);
        if rows.is_none() && value.is_some() {
            findings.push(Finding {
                path: path.clone(),
                text: "expected an object".to_owned(),
            });
        }
        Self {
            path,
            rows,
            used: Vec::new(),
            findings,
        }
    }

    /// A whole number within `range`, or `default` when absent.
    pub fn number(&mut self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.take(name) else {
            return default;
        };
        if let Some(number) = value.as_u64().filter(|number| range.contains(number)) {
            return number;
        }
        let (low, high) = range.into_inner();
        self.reject(
            name,
            &format!("expected a whole number from {low} to {high}"),
        );
        default
    }

    /// A whole number that fits a `usize` within `range`, or `default` when absent.
    pub fn size(
        &mut self,
        name: &'static str,
        default: usize,
        range: RangeInclusive<usize>,
    ) -> usize {
        let (low, high) = range.into_inner();
        let number = self.number(name, default as u64, low as u64..=high as u64);
        usize::try_from(number).unwrap_or(default)
    }

    /// `true` or `false`, or `default` when absent.
    pub fn flag(&mut self, name: &'static str, default: bool) -> bool {
        let Some(value) = self.take(name) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            self.reject(name, "expected true or false");
            default
        })
    }

    /// Text, or `default` when absent.
    pub fn text(&mut self, name: &'static str, default: &str) -> String {
        let Some(value) = self.take(name) else {
            return default.to_owned();
        };
        if let Some(text) = value.as_str() {
            return text.to_owned();
        }
        self.reject(name, "expected text");
        default.to_owned()
    }

    /// A name of 1 to 64 letters, digits, `-` or `_`; absent is a finding.
    pub fn name(&mut self, name: &'static str) -> String {
        let text = self.text(name, "");
        if !is_name(&text) {
            self.reject(
                name,
                "expected a name of 1 to 64 letters, digits, '-' or '_'",
            );
        }
        text
    }

    /// An IP address with a port, or `default` when absent.
    pub fn address(&mut self, name: &'static str, default: SocketAddr) -> SocketAddr {
        let Some(value) = self.take(name) else {
            return default;
        };
        if let Some(address) = as_address(value) {
            return address;
        }
        self.reject(name, EXPECT_ADDRESS);
        default
    }

    /// A list of IP addresses with ports, empty when absent.
    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let values = self.values(name);
        let mut addresses = Vec::new();
        for (at, value) in values.iter().enumerate() {
            match as_address(value) {
                Some(address) => addresses.push(address),
                None => self.reject(&format!("{name}[{at}]"), EXPECT_ADDRESS),
            }
        }
        addresses
    }

    /// A list of texts, empty when absent.
    pub fn texts(&mut self, name: &'static str) -> Vec<String> {
        let values = self.values(name);
        let mut texts = Vec::new();
        for (at, value) in values.iter().enumerate() {
            match value.as_str() {
                Some(text) => texts.push(text.to_owned()),
                None => self.reject(&format!("{name}[{at}]"), "expected text"),
            }
        }
        texts
    }

    /// Reads the object under `name`; an absent one yields its defaults.
    pub fn section<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> T,
    ) -> T {
        let value = self.take(name);
        let path = self.path_of(name);
        let mut inner = Section::new(path, value, self.findings);
        let section = read(&mut inner);
        inner.finish();
        section
    }

    /// Reads each object of the list under `name`.
    pub fn list<T>(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&mut Section<'_>) -> T,
    ) -> Vec<T> {
        let values = self.values(name);
        let mut rows = Vec::new();
        for (at, value) in values.iter().enumerate() {
            let path = self.path_of(&format!("{name}[{at}]"));
            let mut inner = Section::new(path, Some(value), self.findings);
            rows.push(read(&mut inner));
            inner.finish();
        }
        rows
    }

    /// Notes a finding at `name`.
    pub fn reject(&mut self, name: &str, text: &str) {
        let finding = Finding {
            path: self.path_of(name),
            text: text.to_owned(),
        };
        self.findings.push(finding);
    }

    /// Ends the object: every key that no reader asked for is a finding.
    pub fn finish(self) {
        let Some(rows) = self.rows else { return };
        for key in rows.keys() {
            if self.used.contains(&key.as_str()) {
                continue;
            }
            self.findings.push(Finding {
                path: format!("{}.{key}", self.path),
                text: format!("unknown key; known here: {}", self.used.join(", ")),
            });
        }
    }

    fn take(&mut self, name: &'static str) -> Option<&'a Value> {
        self.used.push(name);
        self.rows?.get(name)
    }

    fn values(&mut self, name: &'static str) -> &'a [Value] {
        let Some(value) = self.take(name) else {
            return &[];
        };
        let Some(values) = value.as_array() else {
            self.reject(name, "expected a list");
            return &[];
        };
        values
    }

    fn path_of(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }
}

const EXPECT_ADDRESS: &str = "expected an IP address with a port, such as 10.0.0.1:7000";

fn as_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Whether `text` is 1 to 64 letters, digits, `-` or `_`.
///
/// ```
/// assert!(siskinstep::settings::section::is_name("entry-1"));
/// assert!(!siskinstep::settings::section::is_name("no spaces"));
/// ```
#[must_use]
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=64).contains(&text.len()) && text.bytes().all(allowed)
}
