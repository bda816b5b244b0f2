//! Settings of the relay duty.

use crate::settings::section::Section;

/// Settings of the relay duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds for a new connection.
    pub connect_ms: u64,
    /// Milliseconds for which an idle connection is kept.
    pub idle_ms: u64,
    /// Idle connections kept for one address.
    pub idle_max: usize,
    /// Connections in use to one address at most.
    pub connections: usize,
    /// Connections being opened to one address at most.
    pub opening: usize,
    /// Bytes of an answer's body at most.
    pub answer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            idle_ms: 5_000,
            idle_max: 16,
            connections: 64,
            opening: 2,
            answer_bytes: 8 << 20,
        }
    }
}

impl Settings {
    /// Reads the section `relay`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            connect_ms: section.number("connect_ms", base.connect_ms, 1..=60_000),
            idle_ms: section.number("idle_ms", base.idle_ms, 1..=600_000),
            idle_max: section.size("idle_max", base.idle_max, 0..=1_024),
            connections: section.size("connections", base.connections, 1..=1 << 16),
            opening: section.size("opening", base.opening, 1..=1_024),
            answer_bytes: section.size("answer_bytes", base.answer_bytes, 1..=1 << 30),
        }
    }
}
