//! The lease under which this VM serves, readable from every thread.

use {
    crate::clock::Micros,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// The lease of this VM. A VM that was frozen sees it lapsed as soon as it runs again.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    until: Arc<AtomicU64>,
}

impl Lease {
    /// Whether the lease holds at `now`.
    ///
    /// ```
    /// use siskinstep::{clock::Micros, membership::Lease};
    /// let lease = Lease::default();
    /// lease.extend(Micros(5));
    /// assert!(lease.holds(Micros(4)) && !lease.holds(Micros(5)));
    /// ```
    #[must_use]
    pub fn holds(&self, now: Micros) -> bool {
        now.0 < self.until.load(Ordering::SeqCst)
    }

    /// Lets the lease hold until `until`.
    pub fn extend(&self, until: Micros) {
        self.until.store(until.0, Ordering::SeqCst);
    }

    /// Ends the lease.
    pub fn end(&self) {
        self.until.store(0, Ordering::SeqCst);
    }
}
