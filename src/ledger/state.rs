//! In-memory table of the keys that a ledger has voted on.

use {
    super::messages::{Row, Status, StoredOutcome, VoteState},
    crate::{keys::ClaimKey, sorted::Sorted},
    bytes::Bytes,
    slotmap::SlotMap,
    std::collections::VecDeque,
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of index parts; an insertion moves only entries of one sorted part.
const PARTS: usize = 256;

/// Estimated memory of a row in bytes, without its key and response.
const ROW_BYTES: usize = 160;

/// Rows of a ledger, indexed by key and ordered by expiry.
#[derive(Clone, Debug)]
pub struct VoteTable {
    /// Identity of the ledger and whether it votes.
    pub status: Status,
    /// Latest wall-clock time in milliseconds; never decreases if the system clock is set back.
    pub clock: u64,
    /// Estimated memory of all rows in bytes.
    pub bytes: usize,
    rows: SlotMap<ClaimKey, Row>,
    index: Vec<Sorted<Bytes, ClaimKey>>,
    // In order of expiry: held votes and settled runs first, released votes second.
    expiry_queues: [VecDeque<(u64, ClaimKey)>; 2],
}

impl VoteTable {
    /// Empty table.
    ///
    /// ```
    /// use siskinstep::ledger::{VoteTable, Status};
    /// assert!(VoteTable::new(Status::default()).is_empty());
    /// ```
    #[must_use]
    pub fn new(status: Status) -> Self {
        Self {
            status,
            clock: 0,
            bytes: 0,
            rows: SlotMap::default(),
            index: vec![Sorted::default(); PARTS],
            expiry_queues: Default::default(),
        }
    }

    /// Number of keys.
    ///
    /// ```
    /// use siskinstep::ledger::{VoteTable, Status};
    /// assert_eq!(VoteTable::new(Status::default()).len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Row of `key`.
    ///
    /// ```
    /// use siskinstep::ledger::{VoteTable, Status};
    /// assert!(VoteTable::new(Status::default()).get(b"k").is_none());
    /// ```
    #[must_use]
    pub fn get(&self, key: &[u8]) -> Option<&Row> {
        let at = self.index[part(key)].get(key)?;
        self.rows.get(*at)
    }

    /// Inserts a row, replacing any row of the same key.
    pub fn put(&mut self, row: Row) {
        let cost = cost(&row);
        let (queue, expires) = (usize::from(row.state == VoteState::Free), row.expires);
        let part = part(&row.key);
        let at = if let Some(at) = self.index[part].get(&row.key).copied() {
            self.bytes -= self.rows.get(at).map_or(0, self::cost);
            self.rows[at] = row;
            at
        } else {
            let key = row.key.clone();
            let at = self.rows.insert(row);
            self.index[part].insert(key, at);
            at
        };
        self.bytes += cost;
        self.expiry_queues[queue].push_back((expires, at));
    }

    /// Advances the clock to `now` and removes expired rows.
    pub fn expire(&mut self, now: u64) {
        self.clock = self.clock.max(now);
        for queue in 0..self.expiry_queues.len() {
            while let Some((expires, at)) = self.expiry_queues[queue].front().copied() {
                if expires > self.clock {
                    break;
                }
                self.expiry_queues[queue].pop_front();
                self.forget(at);
            }
        }
    }

    fn forget(&mut self, at: ClaimKey) {
        // The row may have been replaced by one that expires later.
        let Some(row) = self.rows.get(at).filter(|row| row.expires <= self.clock) else {
            return;
        };
        self.bytes -= cost(row);
        self.index[part(&row.key)].remove(&row.key);
        self.rows.remove(at);
    }

    /// All rows, in arbitrary order.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Rows of one index part, for copying the table in parts; `None` beyond the last part.
    ///
    /// ```
    /// use siskinstep::ledger::{VoteTable, Status};
    /// let table = VoteTable::new(Status::default());
    /// assert_eq!(table.part(0).map(|rows| rows.len()), Some(0));
    /// assert!(table.part(256).is_none());
    /// ```
    #[must_use]
    pub fn part(&self, part: usize) -> Option<Vec<Row>> {
        let rows = self.index.get(part)?.rows().iter();
        let rows = rows.filter_map(|(_, at)| self.rows.get(*at).cloned());
        Some(rows.collect())
    }
}

fn part(key: &[u8]) -> usize {
    usize::from(xxh3_64(key).to_le_bytes()[0])
}

fn cost(row: &Row) -> usize {
    let answer = match &row.state {
        VoteState::Settled(StoredOutcome::Answer(answer)) => answer.len(),
        _ => 0,
    };
    ROW_BYTES + row.key.len() + answer
}
