//! Table of upstreams by key.
//!
//! A `SecondaryMap` holds one version of each arena slot: an upstream that joins would replace the
//! row of an absent one that still runs requests.

use {
    super::state::Row,
    crate::keys::UpstreamKey,
    std::ops::{Index, IndexMut},
};

/// Rows in ascending order of their keys.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    rows: Vec<(UpstreamKey, Row)>,
}

impl Rows {
    /// Iterates over keys and rows.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Row)> {
        self.rows.iter().map(|(key, row)| (*key, row))
    }

    /// Iterates over the rows.
    pub fn values(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().map(|(_, row)| row)
    }

    /// Iterates mutably over the rows.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Row> {
        self.rows.iter_mut().map(|(_, row)| row)
    }

    /// Returns the row of `key`.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&Row> {
        let at = self.find(key).ok()?;
        Some(&self.rows[at].1)
    }

    /// Returns the row of `key` for modification.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Row> {
        let at = self.find(key).ok()?;
        Some(&mut self.rows[at].1)
    }

    /// Whether `key` has a row.
    #[must_use]
    pub fn contains_key(&self, key: UpstreamKey) -> bool {
        self.find(key).is_ok()
    }

    /// Number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no row.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub(super) fn insert(&mut self, key: UpstreamKey, row: Row) {
        match self.find(key) {
            Ok(at) => self.rows[at].1 = row,
            Err(at) => self.rows.insert(at, (key, row)),
        }
    }

    pub(super) fn remove(&mut self, key: UpstreamKey) -> Option<Row> {
        let at = self.find(key).ok()?;
        Some(self.rows.remove(at).1)
    }

    fn find(&self, key: UpstreamKey) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |(key, _)| *key)
    }
}

impl Index<UpstreamKey> for Rows {
    type Output = Row;

    fn index(&self, key: UpstreamKey) -> &Row {
        self.get(key).expect("the key has a row")
    }
}

impl IndexMut<UpstreamKey> for Rows {
    fn index_mut(&mut self, key: UpstreamKey) -> &mut Row {
        self.get_mut(key).expect("the key has a row")
    }
}
