//! Retry budget of a service.
//!
//! It applies when upstreams refuse or fail a large share of the requests that they receive. Retries help
//! then, but in addition to a full load they would aggravate the overload. The bound applies to any window of
//! the configured length over all entry VMs: each VM enforces its share in the same window, so the sum stays
//! within the bound without coordination.
//!
//! The share that requests earn needs no knowledge of other VMs. The fixed slack is divided among them, so a VM
//! must not use a larger part than its own: not in its first window, in which its previous incarnation may have
//! used that part and it may not know the others yet, and not while others that it no longer sees may use theirs.

use {super::fleet::RecentMax, crate::clock::Micros};

/// Buckets in a window. Counts expire one bucket at a time.
const BUCKETS: usize = 10;
/// Number of buckets retained: those of a window, and an older one that may still overlap it.
const BUCKETS_KEPT: u64 = 11;

/// Requests and retries of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service within the last window.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    /// Bucket width in microseconds.
    width_us: u64,
    /// One bucket more than a window has, as the oldest may still overlap the window.
    buckets: [Bucket; BUCKETS + 1],
    /// Index of the newest bucket, counted from the start of the clock.
    newest: u64,
}

impl RetryBudget {
    /// Creates an empty budget with windows of `window_ms` milliseconds.
    pub(super) fn new(window_ms: u64) -> Self {
        Self {
            width_us: (window_ms.saturating_mul(1_000) / (BUCKETS_KEPT - 1)).max(1),
            buckets: [Bucket::default(); BUCKETS + 1],
            newest: 0,
        }
    }

    /// Bucket of `now`, after all expired ones are cleared.
    fn bucket(&mut self, now: Micros) -> &mut Bucket {
        let current = now.0 / self.width_us;
        let expired = current.saturating_sub(self.newest).min(BUCKETS_KEPT);
        self.newest = self.newest.max(current);
        for back in 0..expired {
            self.buckets[index(self.newest - back)] = Bucket::default();
        }
        &mut self.buckets[index(self.newest)]
    }

    /// Counts a first attempt, which adds to the budget.
    pub(super) fn record_request(&mut self, now: Micros) {
        self.bucket(now).requests += 1;
    }

    /// Spends one retry if `permille` of the window's requests plus `slack` allow it. The oldest bucket,
    /// which may lie only partly in the window, adds nothing, but its retries count.
    #[allow(clippy::cast_precision_loss, reason = "far below 2^53")]
    pub(super) fn try_spend(&mut self, permille: u64, slack: f64, now: Micros) -> bool {
        self.bucket(now);
        let oldest = self.buckets[index(self.newest + 1)];
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let earned = f64::from(requests - oldest.requests) * permille as f64 / 1_000.0;
        let is_allowed = f64::from(retries + 1) <= earned + slack;
        if is_allowed {
            self.bucket(now).retries += 1;
        }
        is_allowed
    }
}

/// The part of the fixed slack that this VM may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlackShare {
    window_ms: u64,
    /// Start of this incarnation.
    started: Micros,
    /// Number of entry VMs.
    entries: RecentMax,
}

impl SlackShare {
    /// The share of a VM that starts at `started`.
    pub(super) fn new(window_ms: u64, started: Micros) -> Self {
        Self {
            window_ms,
            started,
            entries: RecentMax::default(),
        }
    }

    /// Records the number of entry VMs that serve.
    pub(super) fn record_entries(&mut self, count: u32, now: Micros) {
        self.entries.record(count, self.window_ms, now);
    }

    /// Retries of the fleet's `slack` that this VM may use in a window.
    #[allow(clippy::cast_precision_loss, reason = "far below 2^53")]
    pub(super) fn of(&self, slack: u64, now: Micros) -> f64 {
        if now < self.started.plus_millis(self.window_ms) {
            return 0.0;
        }
        slack as f64 / f64::from(self.entries.read(now).max(1))
    }
}

fn index(number: u64) -> usize {
    usize::try_from(number % BUCKETS_KEPT).unwrap_or_default()
}
