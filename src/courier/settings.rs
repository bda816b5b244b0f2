//! Settings of the courier duty.

/// Settings of the courier duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for opening a connection in milliseconds: several round trips between distant
    /// regions. A host without power sends no refusal, so the timeout is the only signal.
    pub connect_ms: u64,
    /// Milliseconds for which an idle connection may be reused. A shorter time that the upstream
    /// states is ignored, unless it is zero.
    pub idle_ms: u64,
    /// Maximum number of idle connections to one upstream; usually its number of slots.
    pub idle_max: usize,
    /// Maximum size of a response body in bytes.
    pub answer_bytes: usize,
    /// Bytes of responses held in memory, being read or on their way to callers, above which no further
    /// bytes are read from upstreams.
    pub held_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_ms: 300,
            idle_ms: 6_000,
            idle_max: 32,
            answer_bytes: 8 << 20,
            held_bytes: 16 << 20,
        }
    }
}
