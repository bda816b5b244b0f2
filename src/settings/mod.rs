//! Settings files: one JSON object, checked completely before anything starts.

pub mod section;
#[cfg(test)]
mod tests;
pub mod topology;
pub mod vm;

use {
    section::{Finding, Section},
    serde_json::Value,
    snafu::{ResultExt, Snafu},
    std::{fs, path::Path},
};

/// Reason for rejecting a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("{path}: {source}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[snafu(display("{path}: not JSON: {source}"))]
    Malformed {
        /// Path of the file.
        path: String,
        /// Parse error with line and column.
        source: serde_json::Error,
    },
    /// The file violates one or more rules.
    #[snafu(display("{}", format_findings(path, findings)))]
    Invalid {
        /// Path of the file.
        path: String,
        /// All findings, in the order in which the keys were read.
        findings: Vec<Finding>,
    },
}

/// Reads the file at `path` with `read`; an error lists all findings.
///
/// # Errors
/// The file is unreadable, not JSON, or has findings.
///
/// ```
/// use siskinstep::settings;
/// let missing = settings::load("no-such-file.json".as_ref(), |_| ());
/// assert!(missing.unwrap_err().to_string().starts_with("no-such-file.json"));
/// ```
pub fn load<T>(path: &Path, read: impl FnOnce(&mut Section<'_>) -> T) -> Result<T, SettingsError> {
    let path_text = path.display().to_string();
    let bytes = fs::read(path).context(UnreadableSnafu { path: &path_text })?;
    parse(&path_text, &bytes, read)
}

/// Reads `bytes` with `read`; `path` is shown in error messages.
///
/// # Errors
/// The bytes are not JSON, or there are findings.
///
/// ```
/// use siskinstep::settings;
/// let port = settings::parse("x.json", br#"{"port": 9}"#, |s| s.number("port", 1, 0..=99));
/// assert_eq!(port.unwrap(), 9);
/// ```
pub fn parse<T>(
    path: &str,
    bytes: &[u8],
    read: impl FnOnce(&mut Section<'_>) -> T,
) -> Result<T, SettingsError> {
    let value: Value = serde_json::from_slice(bytes).context(MalformedSnafu { path })?;
    let mut findings = Vec::new();
    let mut section = Section::new("$".to_owned(), Some(&value), &mut findings);
    let settings = read(&mut section);
    section.finish();
    if findings.is_empty() {
        return Ok(settings);
    }
    let path = path.to_owned();
    InvalidSnafu { path, findings }.fail()
}

fn format_findings(path: &str, findings: &[Finding]) -> String {
    let lines: Vec<String> = findings
        .iter()
        .map(|finding| format!("{path}: {finding}"))
        .collect();
    lines.join("\n")
}
