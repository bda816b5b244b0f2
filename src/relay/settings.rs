//! Settings of the relay duty.

use crate::settings::section::Section;

/// Settings of the relay duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for opening a connection in milliseconds.
    pub connect_ms: u64,
    /// Milliseconds after which an idle connection is closed.
    pub idle_ms: u64,
    /// Maximum number of idle connections to one address.
    pub idle_max: usize,
    /// Maximum number of connections in use to one address.
    pub connections: usize,
    /// Maximum number of connections being opened to one address.
    pub opening: usize,
    /// Maximum size of a response body in bytes.
    pub answer_bytes: usize,
    /// Bytes of responses held in memory, being read or on their way to callers, above which no further
    /// bytes are read from upstreams.
    pub held_bytes: usize,
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
            held_bytes: 16 << 20,
        }
    }
}

impl Settings {
    /// Reads the section `relay` of the settings.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            connect_ms: section.number("connect_ms", base.connect_ms, 1..=60_000),
            idle_ms: section.number("idle_ms", base.idle_ms, 1..=600_000),
            idle_max: section.size("idle_max", base.idle_max, 0..=1_024),
            connections: section.size("connections", base.connections, 1..=1 << 16),
            opening: section.size("opening", base.opening, 1..=1_024),
            answer_bytes: section.size("answer_bytes", base.answer_bytes, 1..=1 << 30),
            held_bytes: section.size("held_bytes", base.held_bytes, 1..=1 << 34),
        }
    }
}
