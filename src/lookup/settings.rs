//! Settings of the look-up duty.

use crate::settings::section::Section;

/// Settings of the look-up duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds for which a caller may use an answer.
    pub ttl_ms: u64,
    /// Rows of an answer at most.
    pub rows: usize,
    /// Rows kept for VMs of other zones when own ones would take all.
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
