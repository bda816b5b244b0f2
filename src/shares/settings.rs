//! Settings of the limits.

use super::grant::Limit;

/// By how much the fleet may exceed a limit; common to all tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Excess in thousandths of what a limit allows in a window.
    pub overage_permille: u64,
    /// Length of that window in milliseconds.
    pub window_ms: u64,
    /// Further requests allowed in each window.
    pub slack: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            overage_permille: 100,
            window_ms: 5_000,
            slack: 20,
        }
    }
}

impl Settings {
    /// Capacity of the bucket of a tenant, in thousandths of a token, at least one token: the burst and half of the
    /// allowed excess. The other half covers the time between taking a token and sending the request.
    ///
    /// ```
    /// use siskinstep::shares::{Limit, Settings};
    /// let limit = Limit { rate: 10_000, burst: 10_000 };
    /// assert_eq!(Settings::default().capacity(limit), 10_000 + (6_000 + 20_000) / 2);
    /// ```
    #[must_use]
    pub fn capacity(&self, limit: Limit) -> u64 {
        let wide = u128::from;
        let usual = wide(limit.rate) * wide(self.window_ms) / 1_000 + wide(limit.burst);
        let excess = usual * wide(self.overage_permille) / 1_000 + wide(self.slack) * 1_000;
        let capacity = wide(limit.burst) + excess / 2;
        u64::try_from(capacity).unwrap_or(u64::MAX).max(1_000)
    }
}
