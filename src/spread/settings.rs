//! Settings of the spread duty.

use {crate::settings::section::Section, std::net::SocketAddr};

/// Settings of the spread duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Peer listeners of the control VMs.
    pub control: Vec<SocketAddr>,
    /// Milliseconds for which a control VM may hold an answer back.
    pub hold_ms: u64,
    /// Milliseconds to wait after every control VM failed.
    pub retry_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            control: Vec::new(),
            hold_ms: 2_000,
            retry_ms: 200,
        }
    }
}

impl Settings {
    /// Reads the section `spread`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            control: section.addresses("control"),
            hold_ms: section.number("hold_ms", base.hold_ms, 10..=60_000),
            retry_ms: section.number("retry_ms", base.retry_ms, 10..=60_000),
        }
    }
}
