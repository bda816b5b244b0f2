//! Settings of the ledger duty.

use crate::settings::section::Section;

/// Settings of the ledger duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds for which a key is remembered.
    pub expiry_ms: u64,
    /// Keys held at most.
    pub keys: usize,
    /// Bytes of keys and answers held at most.
    pub bytes: usize,
    /// Orders that one sync covers at most.
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
    /// Reads the section `ledger`.
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
