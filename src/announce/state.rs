//! State of the announce duty: upstreams and their leases.

use {
    super::messages::{Announcement, Home},
    crate::{clock::Micros, keys::UpstreamKey, policy::Policy, sorted::Sorted},
    slotmap::SlotMap,
    std::sync::Arc,
};

/// Lease of one upstream.
#[derive(Clone, Debug)]
pub struct Row {
    /// Last announcement of the upstream.
    pub announcement: Announcement,
    /// Time at which the lease expires.
    pub expires: Micros,
    /// Time at which the upstream last got a hint of a better home, or at which it joined.
    pub last_hint: Micros,
}

/// State of the announce duty.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Leases by key.
    pub rows: SlotMap<UpstreamKey, Row>,
    /// Keys by name.
    pub names: Sorted<String, UpstreamKey>,
    /// Fences by name: tokens issued before a fence belong to an earlier tenure and are void.
    pub fences: Sorted<String, Micros>,
    /// Time of the last token issued.
    pub issued: Micros,
    /// Entry VMs that can be a home.
    pub homes: Vec<Home>,
    /// Configuration in force.
    pub policy: Arc<Policy>,
    /// Whether this VM is drained and grants no leases.
    pub drained: bool,
    /// Whether this VM is shutting down. It keeps its upstreams until they have moved.
    pub stopping: bool,
}

impl State {
    /// Time at which the next lease expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Micros> {
        self.rows.values().map(|row| row.expires).min()
    }

    /// Removes an upstream.
    pub(super) fn remove(&mut self, key: UpstreamKey) {
        if let Some(row) = self.rows.remove(key) {
            self.names.remove(row.announcement.name.as_str());
        }
    }
}
