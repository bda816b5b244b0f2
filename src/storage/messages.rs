//! What the storage duty keeps, and what it is told.

use {
    crate::keys::DiskKey,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// A place in the log. Orders by term, then index, as replicas compare logs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the leader that made the entry.
    pub term: u64,
    /// Index, from one.
    pub index: u64,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub at: Position,
    /// Content, which storage does not interpret.
    pub content: Bytes,
}

/// What a replica must not forget besides its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// Identity of this disk, drawn when the data folder was made; never zero.
    pub disk: DiskKey,
    /// Number of starts on this disk.
    pub boot: u64,
    /// Identity of the cluster, zero until known.
    pub cluster: u64,
    /// Latest term seen.
    pub term: u64,
    /// Disk voted for in that term, zero for none.
    pub vote: DiskKey,
}

/// The state that the log up to `at` builds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Place of the last entry that it holds.
    pub at: Position,
    /// State, which storage does not interpret.
    pub body: Bytes,
}

/// What is to be made durable together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// New hard state, if it changed.
    pub hard: Option<Hard>,
    /// New snapshot; the log up to it may be forgotten.
    pub snapshot: Option<Snapshot>,
    /// Whether the log after the snapshot is void.
    pub reset: bool,
    /// Entries; one at or below the last index voids what follows that index.
    pub entries: Vec<Entry>,
    /// Highest index known to be committed.
    pub commit: u64,
}

impl Batch {
    /// Whether there is nothing to make durable.
    ///
    /// ```
    /// assert!(siskinstep::storage::Batch::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Adds what a later batch holds.
    ///
    /// ```
    /// use siskinstep::storage::{Batch, Hard};
    /// let mut batch = Batch::default();
    /// batch.merge(Batch { hard: Some(Hard::default()), ..Batch::default() });
    /// assert!(batch.hard.is_some());
    /// ```
    pub fn merge(&mut self, later: Self) {
        if later.reset {
            self.entries.clear();
            self.reset = true;
        }
        self.hard = later.hard.or(self.hard);
        self.snapshot = later.snapshot.or_else(|| self.snapshot.take());
        self.entries.extend(later.entries);
        self.commit = self.commit.max(later.commit);
    }
}

/// What a data folder held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Hard state; `boot` counts this start already.
    pub hard: Hard,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
    /// Highest index that was known to be committed.
    pub commit: u64,
}

/// What the storage duty says of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ack {
    /// The batch is durable.
    Synced,
    /// The disk refused it; it is tried again until it is durable.
    Failed {
        /// What the system said.
        detail: String,
    },
}
