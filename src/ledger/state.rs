//! The keys that a ledger has voted on.

use {
    super::messages::{Row, Status, Verdict, What},
    crate::{keys::ClaimKey, sorted::Sorted},
    bytes::Bytes,
    slotmap::SlotMap,
    std::collections::VecDeque,
    xxhash_rust::xxh3::xxh3_64,
};

/// Parts of the index, so that an insertion moves few rows.
const PARTS: usize = 256;

/// Bytes that a row costs beyond its key and answer.
const ROW_BYTES: usize = 160;

/// The keys that a ledger has voted on.
#[derive(Clone, Debug)]
pub struct Book {
    /// Who this ledger is, and whether it votes.
    pub status: Status,
    /// Latest time seen, in wall-clock milliseconds; a clock set back does not count.
    pub clock: u64,
    /// Bytes held.
    pub bytes: usize,
    rows: SlotMap<ClaimKey, Row>,
    index: Vec<Sorted<Bytes, ClaimKey>>,
    // By rising expiry: votes and runs in one line, given-back votes in the other.
    lines: [VecDeque<(u64, ClaimKey)>; 2],
}

impl Book {
    /// An empty book.
    ///
    /// ```
    /// use siskinstep::ledger::{Book, Status};
    /// assert!(Book::new(Status::default()).is_empty());
    /// ```
    #[must_use]
    pub fn new(status: Status) -> Self {
        Self {
            status,
            clock: 0,
            bytes: 0,
            rows: SlotMap::default(),
            index: vec![Sorted::default(); PARTS],
            lines: Default::default(),
        }
    }

    /// Keys held.
    ///
    /// ```
    /// use siskinstep::ledger::{Book, Status};
    /// assert_eq!(Book::new(Status::default()).len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// What is known of `key`.
    ///
    /// ```
    /// use siskinstep::ledger::{Book, Status};
    /// assert!(Book::new(Status::default()).get(b"k").is_none());
    /// ```
    #[must_use]
    pub fn get(&self, key: &[u8]) -> Option<&Row> {
        let at = self.index[part(key)].get(key)?;
        self.rows.get(*at)
    }

    /// Puts a row in place of what is known of its key.
    pub fn put(&mut self, row: Row) {
        let cost = cost(&row);
        let (line, expires) = (usize::from(row.what == What::Free), row.expires);
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
        self.lines[line].push_back((expires, at));
    }

    /// Advances the clock to `now` and forgets the rows that have expired.
    pub fn expire(&mut self, now: u64) {
        self.clock = self.clock.max(now);
        for line in 0..self.lines.len() {
            while let Some((expires, at)) = self.lines[line].front().copied() {
                if expires > self.clock {
                    break;
                }
                self.lines[line].pop_front();
                self.forget(at);
            }
        }
    }

    fn forget(&mut self, at: ClaimKey) {
        // The row may have been put again with a later expiry.
        let Some(row) = self.rows.get(at).filter(|row| row.expires <= self.clock) else {
            return;
        };
        self.bytes -= cost(row);
        self.index[part(&row.key)].remove(&row.key);
        self.rows.remove(at);
    }

    /// Every row, in no order.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Rows of one part of the index, for copying a book part by part.
    ///
    /// ```
    /// use siskinstep::ledger::{Book, Status};
    /// let book = Book::new(Status::default());
    /// assert_eq!(book.part(0).map(|rows| rows.len()), Some(0));
    /// assert!(book.part(256).is_none());
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
    let answer = match &row.what {
        What::Settled(Verdict::Answer(answer)) => answer.len(),
        _ => 0,
    };
    ROW_BYTES + row.key.len() + answer
}
