//! The upstreams that hold a lease.

use {
    super::messages::{Announcement, Home},
    crate::{clock::Micros, keys::UpstreamKey, policy::Policy, sorted::Sorted},
    slotmap::SlotMap,
    std::sync::Arc,
};

/// One upstream's lease.
#[derive(Clone, Debug)]
pub struct Row {
    /// What the upstream last said.
    pub announcement: Announcement,
    /// When its lease expires.
    pub expires: Micros,
    /// When it was last told of a better home, or joined.
    pub hinted: Micros,
}

/// The upstreams that hold a lease.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Leases by key.
    pub rows: SlotMap<UpstreamKey, Row>,
    /// Keys by name.
    pub names: Sorted<String, UpstreamKey>,
    /// By name: tokens issued before this are of an earlier tenure.
    pub fences: Sorted<String, Micros>,
    /// Time of the last token that was issued.
    pub issued: Micros,
    /// Other VMs that can be a home.
    pub homes: Vec<Home>,
    /// Configuration in force.
    pub policy: Arc<Policy>,
    /// Whether this VM is drained and no home any more.
    pub closed: bool,
    /// Whether this VM is shutting down: it keeps its upstreams until they have moved.
    pub stopping: bool,
}

impl State {
    /// When the next lease expires.
    #[must_use]
    pub fn next_lapse(&self) -> Option<Micros> {
        self.rows.values().map(|row| row.expires).min()
    }

    /// Removes an upstream.
    pub(super) fn remove(&mut self, key: UpstreamKey) {
        if let Some(row) = self.rows.remove(key) {
            self.names.remove(row.announcement.name.as_str());
        }
    }
}
