//! A catalogue that is received in pages, possibly of several control VMs.

use {
    super::state::{Catalog, Delta},
    std::sync::Arc,
};

/// The catalogue as received so far.
///
/// A page ends below the revision of its sender if there are more rows. A row that changed both below and above
/// that end is in a later page only, which a sender that is behind the first one does not have. The catalogue is
/// therefore one that the log had only once it reaches the newest revision among the senders.
#[derive(Clone, Debug, Default)]
pub(super) struct Replica {
    catalog: Arc<Catalog>,
    /// Newest revision among the senders of the pages applied.
    target: u64,
}

impl Replica {
    /// A replica of a catalogue that the log had.
    pub(super) fn new(catalog: Arc<Catalog>) -> Self {
        Self {
            target: catalog.revision,
            catalog,
        }
    }

    /// The catalogue, which lacks the rows of pages that have not arrived.
    pub(super) fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Revision after which changes are missing.
    pub(super) fn revision(&self) -> u64 {
        self.catalog.revision
    }

    /// Whether the catalogue is one that the log had.
    pub(super) fn is_complete(&self) -> bool {
        self.catalog.revision >= self.target
    }

    /// Applies the rows of a page, whose sender's catalogue is at `revision`. Returns false, without a change, if
    /// they are not newer, or rows between them and the catalogue are missing.
    pub(super) fn apply(&mut self, revision: u64, delta: Delta) -> bool {
        let current = self.catalog.revision;
        if delta.since > current || delta.revision <= current {
            return false;
        }
        self.target = self.target.max(revision);
        Arc::make_mut(&mut self.catalog).merge(delta)
    }
}
