//! The workspaces of the catalogue, indexed for the look-up of API keys.

use {
    super::digest::Digest,
    crate::{
        catalog::{Table, Workspace},
        keys::WorkspaceKey,
        sorted::Sorted,
    },
    slotmap::SlotMap,
    std::sync::Arc,
};

/// What a workspace may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Priority in place of the routes'; `None` to use theirs.
    pub rank: Option<u32>,
    /// Names of the regions that may serve its requests; empty for all regions.
    pub homes: Vec<String>,
    /// Requests that all entry VMs together may send, in thousandths of a request per second; 0 for no limit.
    pub rate: u64,
    /// Requests that may be sent in addition to the rate, in thousandths.
    pub burst: u64,
    /// Revision of the catalogue that last changed the row.
    revision: u64,
}

/// Workspaces by key, by name and by the digests of their API keys.
#[derive(Clone, Debug, Default)]
pub struct Index {
    has_workspaces: bool,
    rows: SlotMap<WorkspaceKey, Row>,
    names: Sorted<Arc<str>, WorkspaceKey>,
    /// Digests of all API keys in ascending order.
    digests: Vec<(Digest, WorkspaceKey)>,
    /// Position in `digests` of the first digest of each bucket, and the number of digests. There are as many
    /// buckets as digests. As digests are uniformly distributed, a bucket holds one on average, whatever their
    /// number.
    buckets: Vec<u32>,
}

impl Index {
    /// Replaces the workspaces by those of a newer catalogue. A workspace that stays keeps its `WorkspaceKey`; the key of a
    /// removed one never matches again. Returns whether anything changed. A row whose revision has not changed is
    /// taken as unchanged.
    ///
    /// ```
    /// use siskinstep::{catalog::Table, workspaces::Index};
    /// let mut index = Index::default();
    /// assert!(index.apply(&Table::default(), true));
    /// assert!(!index.apply(&Table::default(), true));
    /// ```
    pub fn apply(&mut self, table: &Table<Workspace>, has_workspaces: bool) -> bool {
        let was_required = std::mem::replace(&mut self.has_workspaces, has_workspaces);
        let workspaces = table.rows();
        let is_current = |row: &crate::catalog::table::Row<Workspace>| {
            let known = self.key(&row.name).and_then(|key| self.rows.get(key));
            known.is_some_and(|known| known.revision == row.revision)
        };
        if workspaces.len() == self.rows.len() && workspaces.iter().all(is_current) {
            return was_required != has_workspaces;
        }
        self.rows
            .retain(|_, known| table.get(&known.name).is_some());
        let mut names = Sorted::default();
        let mut digests = Vec::with_capacity(self.digests.len());
        for workspace in workspaces {
            let known = self.key(&workspace.name);
            let name = known.and_then(|key| self.rows.get(key)).map_or_else(
                || Arc::from(workspace.name.as_str()),
                |known| Arc::clone(&known.name),
            );
            let row = Row {
                name: Arc::clone(&name),
                rank: workspace.value.rank,
                homes: workspace.value.homes.clone(),
                rate: workspace.value.rate,
                burst: workspace.value.burst,
                revision: workspace.revision,
            };
            let key = match known.and_then(|key| Some((key, self.rows.get_mut(key)?))) {
                Some((key, existing)) => {
                    *existing = row;
                    key
                }
                None => self.rows.insert(row),
            };
            names.insert(name, key);
            digests.extend(workspace.value.keys.iter().map(|digest| (*digest, key)));
        }
        digests.sort_unstable();
        self.names = names;
        self.buckets = first_positions(&digests);
        self.digests = digests;
        true
    }

    /// Whether callers need an API key.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Row of a workspace; `None` if it was removed.
    #[must_use]
    pub fn get(&self, key: WorkspaceKey) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Key of the workspace with that name.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<WorkspaceKey> {
        self.names.get(name).copied()
    }

    /// Workspaces in ascending order of name.
    pub fn rows(&self) -> impl Iterator<Item = (WorkspaceKey, &Row)> {
        let names = self.names.rows().iter();
        names.filter_map(|(_, key)| Some((*key, self.rows.get(*key)?)))
    }

    /// Workspace to which an API key belongs, by its digest.
    ///
    /// ```
    /// use siskinstep::workspaces::{Digest, Index};
    /// assert_eq!(Index::default().find(&Digest::of(b"key")), None);
    /// ```
    #[must_use]
    pub fn find(&self, digest: &Digest) -> Option<WorkspaceKey> {
        let bucket = digest.scaled_to(self.digests.len());
        let first = usize::try_from(*self.buckets.get(bucket)?).ok()?;
        let end = usize::try_from(*self.buckets.get(bucket + 1)?).ok()?;
        let rows = self.digests.get(first..end)?;
        let at = rows.binary_search_by(|row| row.0.cmp(digest)).ok()?;
        Some(rows[at].1)
    }
}

/// Position of the first digest of each bucket, and the number of digests.
fn first_positions(digests: &[(Digest, WorkspaceKey)]) -> Vec<u32> {
    let count = digests.len();
    let mut positions = Vec::with_capacity(count + 1);
    for (at, (digest, _)) in digests.iter().enumerate() {
        let at = u32::try_from(at).unwrap_or(u32::MAX);
        let bucket = digest.scaled_to(count);
        positions.resize(positions.len().max(bucket + 1), at);
    }
    positions.resize(count + 1, u32::try_from(count).unwrap_or(u32::MAX));
    positions
}
