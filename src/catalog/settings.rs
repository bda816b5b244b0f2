//! Settings of the catalogue's followers.

use std::net::SocketAddr;

/// Settings of the catalog duty on an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Peer listeners of the initial control VMs; responses name the others.
    pub control: Vec<SocketAddr>,
    /// Milliseconds for which a control VM may hold back a response (long poll). A quarter of the
    /// shortest time within which users expect a change to be in force (2.5 s), so that the
    /// follower switches away from an unresponsive control VM in time.
    pub hold_ms: u64,
    /// Delay in milliseconds after a failed poll, before the next control VM is polled.
    pub retry_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            control: Vec::new(),
            hold_ms: 600,
            retry_ms: 50,
        }
    }
}
