//! Data that the storage duty stores, and its messages.

use {
    crate::keys::DiskId,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Position in the log. Ordered by term, then index, as Raft compares logs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Index, starting at 1.
    pub index: u64,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the entry.
    pub at: Position,
    /// Content, opaque to storage.
    pub content: Bytes,
}

/// Persistent state of a replica besides its log (the hard state of Raft).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Random identity of this disk, assigned when the data folder was created; never zero.
    pub disk: DiskId,
    /// Number of process starts on this disk.
    pub boot: u64,
    /// Identity of the cluster; zero until known.
    pub cluster: u64,
    /// Latest term seen.
    pub term: u64,
    /// Disk that got the vote in that term; zero if none.
    pub vote: DiskId,
}

/// State of the state machine after applying the log up to `at`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last applied entry.
    pub at: Position,
    /// Encoded state, opaque to storage.
    pub body: Bytes,
}

/// Changes that are made durable together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// New hard state, if it changed.
    pub hard: Option<HardState>,
    /// New snapshot; log entries that it covers may be removed.
    pub snapshot: Option<Snapshot>,
    /// Whether the log entries after the snapshot are discarded.
    pub reset: bool,
    /// New entries. An entry at or below the last index replaces the log from that index on.
    pub entries: Vec<Entry>,
    /// Highest index known to be committed.
    pub commit: u64,
}

impl Batch {
    /// Whether there is nothing to write. A new `commit` alone is not written.
    ///
    /// ```
    /// assert!(siskinstep::storage::Batch::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Merges a later batch into this one.
    ///
    /// ```
    /// use siskinstep::storage::{Batch, HardState};
    /// let mut batch = Batch::default();
    /// batch.merge(Batch { hard: Some(HardState::default()), ..Batch::default() });
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

/// State recovered from a data folder at the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Hard state; `boot` includes this start.
    pub hard: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// Highest index that was known to be committed.
    pub commit: u64,
}

/// Result of an attempt to write a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ack {
    /// The batch is durable.
    Synced,
    /// The write failed; the storage duty retries it until the batch is durable.
    Failed {
        /// Error text of the operating system.
        detail: String,
    },
}
