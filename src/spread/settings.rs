//! Settings of the spread duty.

use {crate::settings::section::Section, std::net::SocketAddr};

/// Settings of the spread duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Peer listeners of the control VMs.
    pub control: Vec<SocketAddr>,
    /// Milliseconds for which a response may be held back (long poll).
    pub hold_ms: u64,
    /// Milliseconds to wait after every polled VM has failed to respond.
    pub retry_ms: u64,
    /// Maximum milliseconds for which startup waits to reach the version of the zone.
    pub start_ms: u64,
    /// Folder that stores the last configuration; empty on a VM without a disk.
    pub data_dir: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            control: Vec::new(),
            hold_ms: 2_000,
            retry_ms: 200,
            start_ms: 3_000,
            data_dir: String::new(),
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
            start_ms: section.number("start_ms", base.start_ms, 0..=600_000),
            data_dir: section.text("data_dir", &base.data_dir),
        }
    }
}
