//! Reader for one object of a settings file; collects all findings with their JSON paths.

use {
    serde_json::{Map, Value},
    std::{
        fmt::{self, Display},
        net::SocketAddr,
        ops::RangeInclusive,
    },
};

/// A violation found in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// JSON path, such as `$.slots.ramp_ms`.
    pub path: String,
    /// Expected content, or content that is not allowed.
    pub text: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Reader for one object of a settings file.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    rows: Option<&'a Map<String, Value>>,
    known: Vec<&'static str>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> Section<'a> {
    /// Starts reading the object `value` at the JSON path `path`; `None` means that the object is absent.
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
            known: Vec::new(),
            findings,
        }
    }

    /// Reads an integer within `range`; `default` if absent or invalid.
    pub fn number(&mut self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.take(name) else {
            return default;
        };
        if let Some(number) = value.as_u64().filter(|number| range.contains(number)) {
            return number;
        }
        let (low, high) = range.into_inner();
        self.reject(name, &format!("expected an integer from {low} to {high}"));
        default
    }

    /// Reads an integer within `range` as `usize`; `default` if absent or invalid.
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

    /// Reads a Boolean; `default` if absent or invalid.
    pub fn flag(&mut self, name: &'static str, default: bool) -> bool {
        let Some(value) = self.take(name) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            self.reject(name, "expected true or false");
            default
        })
    }

    /// Reads a string; `default` if absent or invalid.
    pub fn text(&mut self, name: &'static str, default: &str) -> String {
        let Some(value) = self.take(name) else {
            return default.to_owned();
        };
        if let Some(text) = value.as_str() {
            return text.to_owned();
        }
        self.reject(name, "expected a string");
        default.to_owned()
    }

    /// Reads a name of 1 to 64 ASCII letters, digits, `-` or `_`; an absent or invalid name is a finding.
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

    /// Reads an IP address with a port; `default` if absent or invalid.
    pub fn address(&mut self, name: &'static str, default: SocketAddr) -> SocketAddr {
        let Some(value) = self.take(name) else {
            return default;
        };
        if let Some(address) = parse_address(value) {
            return address;
        }
        self.reject(name, EXPECTED_ADDRESS);
        default
    }

    /// Reads a list of IP addresses with ports; empty if absent. Invalid elements are skipped.
    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let values = self.values(name);
        let mut addresses = Vec::new();
        for (index, value) in values.iter().enumerate() {
            match parse_address(value) {
                Some(address) => addresses.push(address),
                None => self.reject(&format!("{name}[{index}]"), EXPECTED_ADDRESS),
            }
        }
        addresses
    }

    /// Reads a list of strings; empty if absent. Invalid elements are skipped.
    pub fn texts(&mut self, name: &'static str) -> Vec<String> {
        let values = self.values(name);
        let mut texts = Vec::new();
        for (index, value) in values.iter().enumerate() {
            match value.as_str() {
                Some(text) => texts.push(text.to_owned()),
                None => self.reject(&format!("{name}[{index}]"), "expected a string"),
            }
        }
        texts
    }

    /// Reads the object at `name`; if absent, all its keys take their defaults.
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

    /// Reads each object of the list at `name`; empty if absent.
    pub fn list<T>(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&mut Section<'_>) -> T,
    ) -> Vec<T> {
        let values = self.values(name);
        let mut rows = Vec::new();
        for (index, value) in values.iter().enumerate() {
            let path = self.path_of(&format!("{name}[{index}]"));
            let mut inner = Section::new(path, Some(value), self.findings);
            rows.push(read(&mut inner));
            inner.finish();
        }
        rows
    }

    /// Adds a finding for the key `name`.
    pub fn reject(&mut self, name: &str, text: &str) {
        let finding = Finding {
            path: self.path_of(name),
            text: text.to_owned(),
        };
        self.findings.push(finding);
    }

    /// Finishes reading the object; every key that was not read is reported as unknown.
    pub fn finish(self) {
        let Some(rows) = self.rows else { return };
        for key in rows.keys() {
            if self.known.contains(&key.as_str()) {
                continue;
            }
            self.findings.push(Finding {
                path: format!("{}.{key}", self.path),
                text: format!("unknown key; known keys: {}", self.known.join(", ")),
            });
        }
    }

    fn take(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
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

const EXPECTED_ADDRESS: &str = "expected an IP address with a port, such as 10.0.0.1:7000";

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Whether `text` has 1 to 64 characters, all of them ASCII letters, digits, `-` or `_`.
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
