//! Settings of the limits.

use super::grant::Limit;

/// Percentages of the allowed excess that the capacity and the fill rate use. The rest covers the time between taking
/// a token and the arrival of the request, which differs between requests.
const CAPACITY_PERCENT: u128 = 50;
const FILL_PERCENT: u128 = 40;

/// By how much the fleet may exceed a limit; common to all workspaces.
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
    /// Capacity of the bucket of a workspace, in thousandths of a token, at least one token: the burst and a part of the
    /// allowed excess.
    ///
    /// ```
    /// use siskinstep::shares::{Limit, Settings};
    /// let limit = Limit { rate: 10_000, burst: 10_000 };
    /// assert_eq!(Settings::default().capacity(limit), 10_000 + (6_000 + 20_000) * 50 / 100);
    /// ```
    #[must_use]
    pub fn capacity(&self, limit: Limit) -> u64 {
        let capacity = u128::from(limit.burst) + self.excess(limit) * CAPACITY_PERCENT / 100;
        u64::try_from(capacity).unwrap_or(u64::MAX).max(1_000)
    }

    /// Rate at which the bucket of a workspace fills, in thousandths of a token per second: the workspace's rate, and a part
    /// of the allowed excess in each window. What the bucket adds in a window and its capacity together stay below
    /// what a limit and its excess allow.
    ///
    /// ```
    /// use siskinstep::shares::{Limit, Settings};
    /// let limit = Limit { rate: 10_000, burst: 10_000 };
    /// assert_eq!(Settings::default().fill_rate(limit), 10_000 + (6_000 + 20_000) * 40 / 100 / 5);
    /// ```
    #[must_use]
    pub fn fill_rate(&self, limit: Limit) -> u64 {
        let window_ms = u128::from(self.window_ms.max(1));
        let gain = self.excess(limit) * FILL_PERCENT / 100;
        let rate = u128::from(limit.rate) + gain * 1_000 / window_ms;
        u64::try_from(rate).unwrap_or(u64::MAX)
    }

    /// Allowed excess in a window, in thousandths.
    fn excess(&self, limit: Limit) -> u128 {
        let wide = u128::from;
        let usual = wide(limit.rate) * wide(self.window_ms) / 1_000 + wide(limit.burst);
        usual * wide(self.overage_permille) / 1_000 + wide(self.slack) * 1_000
    }
}
