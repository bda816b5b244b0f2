//! Settings of the look-up duty.

use crate::settings::section::Section;

/// Settings of the look-up duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds for which a caller may cache a response.
    pub ttl_ms: u64,
    /// Maximum number of rows in a response.
    pub rows: usize,
    /// Rows that are reserved for VMs of other zones when those of the local zone would fill the
    /// response.
    pub far: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl_ms: 1_000,
            rows: 32,
            far: 8,
        }
    }
}

impl Settings {
    /// Reads the section `lookup`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            ttl_ms: section.number("ttl_ms", base.ttl_ms, 10..=600_000),
            rows: section.size("rows", base.rows, 1..=1_024),
            far: section.size("far", base.far, 0..=1_024),
        }
    }
}
