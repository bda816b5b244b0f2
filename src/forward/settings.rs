//! Settings of the forward duty.

use crate::settings::section::Section;

/// Settings of the forward duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout in milliseconds for connecting to a peer.
    pub connect_ms: u64,
    /// Milliseconds for which an idle connection to a peer is kept open.
    pub idle_ms: u64,
    /// Maximum number of idle connections to one peer.
    pub idle_max: usize,
    /// Maximum size of an encoded outcome in bytes.
    pub answer_bytes: usize,
    /// Maximum number of peers tried for a request that found no slot on this VM.
    pub tries: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            idle_ms: 10_000,
            idle_max: 64,
            answer_bytes: 16 << 20,
            tries: 3,
        }
    }
}

impl Settings {
    /// Reads the section `forward`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            connect_ms: section.number("connect_ms", base.connect_ms, 1..=60_000),
            idle_ms: section.number("idle_ms", base.idle_ms, 1..=600_000),
            idle_max: section.size("idle_max", base.idle_max, 0..=1_024),
            answer_bytes: section.size("answer_bytes", base.answer_bytes, 1..=1 << 30),
            tries: section.size("tries", base.tries, 1..=16),
        }
    }
}
