//! A table with the revision of the last change of each row.

use serde::{Deserialize, Serialize};

/// Removals that a table retains; a follower that is further behind receives the complete table.
pub(super) const MAX_REMOVALS: usize = 1_024;

/// One row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<T> {
    /// Name of the row, unique in its table.
    pub name: String,
    /// Revision that last changed the row.
    pub revision: u64,
    /// Content of the row.
    pub value: T,
}

/// Rows in ascending order of name, and the latest removals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table<T> {
    rows: Vec<Row<T>>,
    /// Revision of the removal and name of removed rows, in ascending order of revision.
    gone: Vec<(u64, String)>,
    /// Latest revision whose removals are no longer retained.
    floor: u64,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            gone: Vec::new(),
            floor: 0,
        }
    }
}

/// Changes of a table since a given revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch<T> {
    /// Whether `rows` is the complete table.
    pub whole: bool,
    /// New and changed rows.
    pub rows: Vec<Row<T>>,
    /// Revision of the removal and name of removed rows.
    pub gone: Vec<(u64, String)>,
}

impl<T> Default for Patch<T> {
    fn default() -> Self {
        Self {
            whole: false,
            rows: Vec::new(),
            gone: Vec::new(),
        }
    }
}

impl<T: Clone + PartialEq> Table<T> {
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.name.as_str().cmp(name))
    }

    /// Content of the row with the given name.
    ///
    /// ```
    /// let mut table = siskinstep::catalog::Table::default();
    /// table.put("a", 7, 1);
    /// assert_eq!(table.get("a"), Some(&7));
    /// ```
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&T> {
        let at = self.find(name).ok()?;
        Some(&self.rows[at].value)
    }

    /// Whether a row of that name was removed and has not been inserted since, as far as removals are retained.
    ///
    /// ```
    /// let mut table = siskinstep::catalog::Table::default();
    /// table.put("a", 7, 1);
    /// table.remove("a", 2);
    /// assert!(table.was_removed("a"));
    /// ```
    #[must_use]
    pub fn was_removed(&self, name: &str) -> bool {
        self.gone.iter().any(|(_, removed)| removed == name)
    }

    /// Rows in ascending order of name.
    #[must_use]
    pub fn rows(&self) -> &[Row<T>] {
        &self.rows
    }

    /// Inserts or replaces a row. Returns whether the table changed.
    ///
    /// ```
    /// let mut table = siskinstep::catalog::Table::default();
    /// assert!(table.put("a", 7, 1));
    /// assert!(!table.put("a", 7, 2));
    /// ```
    pub fn put(&mut self, name: &str, value: T, revision: u64) -> bool {
        match self.find(name) {
            Ok(at) if self.rows[at].value == value => return false,
            Ok(at) => {
                self.rows[at].value = value;
                self.rows[at].revision = revision;
            }
            Err(at) => {
                let row = Row {
                    name: name.to_owned(),
                    revision,
                    value,
                };
                self.insert(at, row);
            }
        }
        true
    }

    /// Inserts a row at its place, and forgets that it was removed before.
    fn insert(&mut self, at: usize, row: Row<T>) {
        self.gone.retain(|(_, removed)| *removed != row.name);
        self.rows.insert(at, row);
    }

    /// Removes a row. Returns whether it existed.
    ///
    /// ```
    /// let mut table = siskinstep::catalog::Table::default();
    /// table.put("a", 7, 1);
    /// assert!(table.remove("a", 2));
    /// assert!(!table.remove("a", 3));
    /// ```
    pub fn remove(&mut self, name: &str, revision: u64) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        self.rows.remove(at);
        self.record_removal(revision, name.to_owned());
        true
    }

    fn record_removal(&mut self, revision: u64, name: String) {
        self.gone.retain(|(_, removed)| *removed != name);
        self.gone.push((revision, name));
        if self.gone.len() > MAX_REMOVALS {
            let (floor, _) = self.gone.remove(0);
            self.floor = self.floor.max(floor);
        }
    }

    /// Latest revision whose removals are no longer retained: a follower that is behind it needs the
    /// complete table.
    pub(super) fn floor(&self) -> u64 {
        self.floor
    }

    /// Whether rows may have changed after revision `since`.
    ///
    /// ```
    /// let mut table = siskinstep::catalog::Table::default();
    /// table.put("a", 1, 3);
    /// assert!(table.has_changed(2) && !table.has_changed(3));
    /// ```
    #[must_use]
    pub fn has_changed(&self, since: u64) -> bool {
        self.floor > since || self.revisions(since).next().is_some()
    }

    /// Revisions of the changes after revision `since`, in no order.
    pub(super) fn revisions(&self, since: u64) -> impl Iterator<Item = u64> {
        let rows = self.rows.iter().map(|row| row.revision);
        let removed = self.gone.iter().map(|(at, _)| *at);
        rows.chain(removed).filter(move |at| *at > since)
    }

    /// Changes after revision `since`, up to and including revision `until`.
    ///
    /// ```
    /// let mut table = siskinstep::catalog::Table::default();
    /// table.put("a", 1, 1);
    /// table.put("b", 2, 2);
    /// let patch = table.between(1, 2);
    /// assert_eq!(patch.rows.len(), 1);
    /// ```
    #[must_use]
    pub fn between(&self, since: u64, until: u64) -> Patch<T> {
        let whole = since < self.floor;
        let is_new = |row: &&Row<T>| (whole || row.revision > since) && row.revision <= until;
        let removed = self.gone.iter();
        let removed = removed.filter(|(at, _)| *at > since && *at <= until);
        Patch {
            whole,
            rows: self.rows.iter().filter(is_new).cloned().collect(),
            gone: if whole {
                Vec::new()
            } else {
                removed.cloned().collect()
            },
        }
    }

    /// Applies the changes of another replica of the table up to revision `until`; this one has those up to
    /// `since`. Removals are recorded whether or not the row was here, as this table may be passed on to a
    /// follower that has it.
    pub(super) fn merge(&mut self, patch: Patch<T>, since: u64, until: u64) {
        if patch.whole {
            *self = Self {
                // The removals that led to the complete table are not known here.
                floor: until,
                ..Self::default()
            };
        }
        for (revision, name) in patch.gone {
            if revision <= since {
                continue;
            }
            if let Ok(at) = self.find(&name) {
                self.rows.remove(at);
            }
            self.record_removal(revision, name);
        }
        for row in patch.rows {
            match self.find(&row.name) {
                Ok(at) => self.rows[at] = row,
                Err(at) => self.insert(at, row),
            }
        }
    }
}
