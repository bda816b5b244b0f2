//! The part of the log that is kept in memory.

use crate::storage::{Entry, Position};

/// Consecutive entries after `base`.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    base: Position,
    entries: Vec<Entry>,
}

impl Log {
    pub(super) fn new(base: Position, entries: Vec<Entry>) -> Self {
        Self { base, entries }
    }

    /// Position before the first entry.
    pub(super) fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry.
    pub(super) fn last(&self) -> Position {
        self.entries.last().map_or(self.base, |entry| entry.at)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset_of(index)?)
    }

    /// Term of the entry at `index`, which may be the base.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        Some(self.get(index)?.at.term)
    }

    /// Lowest index of the consecutive entries that have the same term as the one at `index`.
    pub(super) fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Entries from `index` on, at most `count` of them, up to and including the one with which they
    /// reach `bytes` bytes.
    pub(super) fn slice(&self, index: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let Some(start) = self.offset_of(index) else {
            return Vec::new();
        };
        let mut size = 0;
        let fits = |entry: &&Entry| {
            let has_room = size < bytes;
            size += entry.content.len();
            has_room
        };
        let tail = self.entries.get(start..).unwrap_or_default();
        tail.iter().take(count).take_while(fits).cloned().collect()
    }

    pub(super) fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate_from(&mut self, index: u64) {
        if let Some(offset) = self.offset_of(index) {
            self.entries.truncate(offset);
        }
    }

    /// Removes the entries up to `index`, which becomes the base.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let removed = usize::try_from(index - self.base.index).unwrap_or(usize::MAX);
        self.entries.drain(..removed.min(self.entries.len()));
        self.base = Position { term, index };
    }

    /// Offset in `entries` of an index after the base.
    fn offset_of(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.base.index + 1)?;
        usize::try_from(offset).ok()
    }
}
