//! The last report of each upstream. Each control VM records the reports that it receives and
//! forwards the names and incarnations to the others.

use {
    crate::sorted::Sorted,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Difference by which the end of a slow start varies between reports, as their delays vary.
const JITTER: Duration = Duration::from_millis(300);

/// Incarnation and time of the last report, by name of the upstream.
type Rows = Sorted<String, (u64, Instant)>;

/// Last report of each upstream; a clone shares the content.
#[derive(Clone, Debug)]
pub struct LastReports {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    rows: Rows,
    /// Incarnation and end of the slow start of upstreams, by the last report here.
    cold: Sorted<String, (u64, Instant)>,
    /// Name and incarnation of upstreams that reported here and are not yet forwarded.
    unsent: Vec<(String, u64)>,
}

impl Inner {
    /// Records a report, unless one of a later incarnation is known: a report that was delayed, or was
    /// forwarded by another control VM, must not make the running incarnation look silent.
    fn insert(&mut self, id: String, born: u64) {
        let is_late = self.rows.get(&id).is_some_and(|(latest, _)| *latest > born);
        if !is_late {
            self.rows.insert(id, (born, Instant::now()));
        }
    }
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
        // Every change is a single insertion, so that a panic in another thread leaves the data
        // consistent and a poisoned lock can be used.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a report that this control VM received.
    ///
    /// ```
    /// let reports = siskinstep::catalog::last_reports::LastReports::default();
    /// reports.record("u-1", 7);
    /// assert_eq!(reports.take_unsent(), [("u-1".to_owned(), 7)]);
    /// ```
    pub fn record(&self, id: &str, born: u64) {
        let mut inner = self.lock();
        inner.insert(id.to_owned(), born);
        if !inner.unsent.iter().any(|row| row.0 == id) {
            inner.unsent.push((id.to_owned(), born));
        }
    }

    /// Records the remaining slow start in a report that this control VM received. Returns whether it ends later
    /// than that of the last report: the upstream has become cold again. The first report here is compared with the
    /// remaining time in the upstream's row, which only a later slow start can exceed: an order for each cold
    /// upstream that reports to another control VM would fill the log after an outage.
    ///
    /// ```
    /// let reports = siskinstep::catalog::last_reports::LastReports::default();
    /// let now = std::time::Instant::now();
    /// assert!(!reports.record_cold("u-1", (7, 2_900), 3_000, now));
    /// assert!(!reports.record_cold("u-1", (7, 2_800), 3_000, now));
    /// assert!(reports.record_cold("u-1", (7, 5_000), 3_000, now));
    /// ```
    #[must_use]
    pub fn record_cold(
        &self,
        id: &str,
        (born, cold_ms): (u64, u64),
        row_ms: u64,
        now: Instant,
    ) -> bool {
        let mut inner = self.lock();
        if cold_ms == 0 {
            inner.cold.remove(id);
            return false;
        }
        let until = now + Duration::from_millis(cold_ms);
        let known = inner.cold.get(id).filter(|(other, _)| *other == born);
        let known_until = known.map_or(now + Duration::from_millis(row_ms), |row| row.1);
        let is_renewed = until > known_until + JITTER;
        if known.is_none() || is_renewed {
            inner.cold.insert(id.to_owned(), (born, until));
        }
        is_renewed
    }

    /// Records reports that another control VM received: name and incarnation of each upstream.
    pub fn record_all(&self, rows: Vec<(String, u64)>) {
        let mut inner = self.lock();
        for (id, born) in rows {
            inner.insert(id, born);
        }
    }

    /// Name and incarnation of the upstreams that reported here since the last call.
    #[must_use]
    pub fn take_unsent(&self) -> Vec<(String, u64)> {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Time of the last report of upstream `id`, if it was of the incarnation `born`.
    #[must_use]
    pub fn reported_at(&self, id: &str, born: u64) -> Option<Instant> {
        let inner = self.lock();
        let (latest, at) = inner.rows.get(id)?;
        (*latest == born).then_some(*at)
    }

    /// Incarnation of the last report of upstream `id`.
    ///
    /// ```
    /// let reports = siskinstep::catalog::last_reports::LastReports::default();
    /// reports.record("u-1", 7);
    /// assert_eq!(reports.last_incarnation("u-1"), Some(7));
    /// ```
    #[must_use]
    pub fn last_incarnation(&self, id: &str) -> Option<u64> {
        self.lock().rows.get(id).map(|(born, _)| *born)
    }

    /// Removes the entries for which `keep`, given the name and the time of the last report,
    /// returns false.
    pub fn retain(&self, keep: impl Fn(&str, Instant) -> bool) {
        let mut inner = self.lock();
        inner.rows.retain(|id, (_, at)| keep(id, *at));
        let now = Instant::now();
        inner.cold.retain(|_, (_, until)| now < *until);
    }
}
