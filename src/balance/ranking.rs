//! Upstreams in the order in which affinity keys prefer them, kept for the keys in use.

use crate::{keys::UpstreamKey, sorted::Sorted};

/// Upstreams kept for a key at one distance: some may be full, in back-off or already tried.
const MAX_RANKED: usize = 8;
/// Keys kept for a service, several times as many as a service usually has.
const MAX_KEYS: usize = 1_024;

/// The first upstreams of an affinity key at one distance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    first: Vec<UpstreamKey>,
    /// Whether there are no others.
    is_complete: bool,
}

impl Ranking {
    /// Ranks upstreams by descending score.
    ///
    /// ```
    /// use siskinstep::{balance::Ranking, keys::UpstreamKey};
    /// use slotmap::SlotMap;
    /// let mut arena: SlotMap<UpstreamKey, ()> = SlotMap::default();
    /// let keys = [arena.insert(()), arena.insert(())];
    /// let ranking = Ranking::new([(1, keys[0]), (2, keys[1])]);
    /// assert_eq!(ranking.take(1, Some), Some(vec![keys[1]]));
    /// // No third upstream exists.
    /// assert_eq!(ranking.take(3, Some), Some(vec![keys[1], keys[0]]));
    /// ```
    pub fn new(scores: impl IntoIterator<Item = (u64, UpstreamKey)>) -> Self {
        let mut first: Vec<(u64, UpstreamKey)> = Vec::with_capacity(MAX_RANKED + 1);
        let mut count = 0;
        for (score, key) in scores {
            count += 1;
            let index = first.partition_point(|row| row.0 >= score);
            if index < MAX_RANKED {
                first.insert(index, (score, key));
                first.truncate(MAX_RANKED);
            }
        }
        Self {
            first: first.into_iter().map(|row| row.1).collect(),
            is_complete: count <= MAX_RANKED,
        }
    }

    /// What `accept` returns for the first `count` upstreams that it accepts; `None` if others than those kept here
    /// may be among these.
    pub fn take<T>(
        &self,
        count: usize,
        accept: impl FnMut(UpstreamKey) -> Option<T>,
    ) -> Option<Vec<T>> {
        let rows: Vec<T> = self
            .first
            .iter()
            .copied()
            .filter_map(accept)
            .take(count)
            .collect();
        (self.is_complete || rows.len() == count).then_some(rows)
    }
}

/// Rankings of the affinity keys of a service, by distance. They hold while its upstreams stay the same.
#[derive(Clone, Debug, Default)]
pub struct Rankings<const DISTANCES: usize> {
    rows: Sorted<u64, [Ranking; DISTANCES]>,
}

impl<const DISTANCES: usize> Rankings<DISTANCES> {
    /// Rankings of `key`, if kept.
    #[must_use]
    pub fn get(&self, key: u64) -> Option<&[Ranking; DISTANCES]> {
        self.rows.get(&key)
    }

    /// Keeps the rankings of `key`. If there are too many keys, the others are dropped: those in use return.
    pub fn insert(&mut self, key: u64, row: [Ranking; DISTANCES]) {
        if self.rows.len() >= MAX_KEYS {
            self.clear();
        }
        self.rows.insert(key, row);
    }

    /// Drops all rankings, when upstreams were added or removed.
    pub fn clear(&mut self) {
        self.rows = Sorted::default();
    }
}
