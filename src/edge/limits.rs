//! Resource limits of a listener and its connections.

use {
    crate::settings::section::Section,
    std::net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

/// Loopback address with a port that the operating system selects; default of every listener.
pub const LOOPBACK: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

/// Limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Timeout in milliseconds for a complete request head; includes the idle time between two requests
    /// of a connection.
    pub header_ms: u64,
    /// Timeout in milliseconds for a complete request body.
    pub body_ms: u64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Milliseconds for which a write to the peer may make no progress.
    pub write_ms: u64,
    /// Bytes of responses that callers have not taken, on all connections; above it, the connections of the
    /// slowest ones are closed. Not applied to calls that carry the secret.
    pub untaken_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_ms: 30_000,
            body_ms: 10_000,
            body_bytes: 1 << 20,
            write_ms: 10_000,
            // Half of what upstreams' responses may take, so that the other half stays for those being read.
            untaken_bytes: 8 << 20,
        }
    }
}

impl Limits {
    /// Reads the limits of a settings section.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            connections: section.size("connections", base.connections, 1..=100_000),
            header_ms: section.number("header_ms", base.header_ms, 10..=600_000),
            body_ms: section.number("body_ms", base.body_ms, 10..=600_000),
            body_bytes: section.size("body_bytes", base.body_bytes, 1..=1 << 28),
            write_ms: section.number("write_ms", base.write_ms, 10..=600_000),
            untaken_bytes: section.size("untaken_bytes", base.untaken_bytes, 1..=1 << 34),
        }
    }
}
