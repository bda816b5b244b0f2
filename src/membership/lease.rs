//! Lease under which the local VM serves, readable from every thread.

use {
    crate::clock::Micros,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Lease of the local VM. A process that was frozen (stopped and continued) beyond the expiry finds
/// the lease expired as soon as it runs again.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    until: Arc<AtomicU64>,
}

impl Lease {
    /// Whether the lease is valid at `now`.
    ///
    /// ```
    /// use siskinstep::{clock::Micros, membership::Lease};
    /// let lease = Lease::default();
    /// lease.extend(Micros(5));
    /// assert!(lease.is_valid(Micros(4)) && !lease.is_valid(Micros(5)));
    /// ```
    #[must_use]
    pub fn is_valid(&self, now: Micros) -> bool {
        now.0 < self.until.load(Ordering::SeqCst)
    }

    /// Sets the expiry of the lease to `until`.
    pub fn extend(&self, until: Micros) {
        self.until.store(until.0, Ordering::SeqCst);
    }

    /// Revokes the lease with immediate effect.
    pub fn revoke(&self) {
        self.until.store(0, Ordering::SeqCst);
    }
}
