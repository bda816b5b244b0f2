//! Which upstreams were heard, and when: each control VM notes its own and tells the others.

use {
    crate::sorted::Sorted,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
};

/// Incarnation and time of the last report, by name.
type Rows = Sorted<String, (u64, Instant)>;

/// Upstreams that were heard; cheap to clone.
#[derive(Clone, Debug)]
pub struct LastReports {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    rows: Rows,
    /// LastReports here since the last time that others were told.
    fresh: Vec<(String, u64)>,
}

impl Default for LastReports {
    fn default() -> Self {
        Self {
            inner: Arc::new(Mutex::default()),
        }
    }
}

impl LastReports {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        // Every change is one insert, so that a panic elsewhere leaves nothing half done.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a report that came here.
    ///
    /// ```
    /// let heard = siskinstep::catalog::last_reports::LastReports::default();
    /// heard.record("u-1", 7);
    /// assert_eq!(heard.take_fresh(), [("u-1".to_owned(), 7)]);
    /// ```
    pub fn record(&self, id: &str, born: u64) {
        let mut inner = self.lock();
        inner.rows.insert(id.to_owned(), (born, Instant::now()));
        if !inner.fresh.iter().any(|row| row.0 == id) {
            inner.fresh.push((id.to_owned(), born));
        }
    }

    /// Notes reports that came to another control VM.
    pub fn note_all(&self, rows: Vec<(String, u64)>) {
        let mut inner = self.lock();
        for (id, born) in rows {
            inner.rows.insert(id, (born, Instant::now()));
        }
    }

    /// What came here since the last call.
    #[must_use]
    pub fn take_fresh(&self) -> Vec<(String, u64)> {
        std::mem::take(&mut self.lock().fresh)
    }

    /// When the incarnation `born` of `id` was heard last.
    #[must_use]
    pub fn last(&self, id: &str, born: u64) -> Option<Instant> {
        let inner = self.lock();
        let (known, at) = inner.rows.get(id)?;
        (*known == born).then_some(*at)
    }

    /// The incarnation of `id` that was heard last.
    ///
    /// ```
    /// let heard = siskinstep::catalog::last_reports::LastReports::default();
    /// heard.record("u-1", 7);
    /// assert_eq!(heard.last_incarnation("u-1"), Some(7));
    /// ```
    #[must_use]
    pub fn last_incarnation(&self, id: &str) -> Option<u64> {
        self.lock().rows.get(id).map(|(born, _)| *born)
    }

    /// Forgets all but the upstreams that `keep` picks by name and time of the last report.
    pub fn retain(&self, keep: impl Fn(&str, Instant) -> bool) {
        self.lock().rows.retain(|id, (_, at)| keep(id, *at));
    }
}
