//! Settings of the ledger duty.

use crate::settings::section::Section;

/// Settings of the ledger duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Retention of a key in milliseconds.
    pub expiry_ms: u64,
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum size of the rows in bytes, including keys and responses.
    pub bytes: usize,
    /// Maximum number of calls (batches of orders, or reads of the status or of rows) whose replies
    /// one sync covers.
    pub batch: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            expiry_ms: 24 * 60 * 60 * 1_000,
            keys: 200_000,
            bytes: 64 << 20,
            batch: 256,
        }
    }
}

impl Settings {
    /// Reads the section `ledger`, and reports invalid values to it.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            expiry_ms: section.number("expiry_ms", base.expiry_ms, 60_000..=30 * 86_400_000),
            keys: section.size("keys", base.keys, 1..=10_000_000),
            bytes: section.size("bytes", base.bytes, 1 << 10..=8 << 30),
            batch: section.size("batch", base.batch, 1..=4_096),
        }
    }
}
