//! Settings of the steer duty.

/// Settings of the steer duty. Ratios are thousandths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds that a caller waits who says nothing.
    pub patience_ms: u64,
    /// Part of first attempts that further ones may add, over all entry VMs.
    pub retry_permille: u64,
    /// Further attempts that are allowed besides, in each window, over all entry VMs.
    pub retry_slack: u64,
    /// Milliseconds of that window.
    pub retry_ms: u64,
    /// Most that the share of requests which change region may rise or fall from one window to the next.
    pub move_permille: u64,
    /// Milliseconds of that window.
    pub move_ms: u64,
    /// Milliseconds after which half of the told load of others no longer counts.
    pub told_ms: u64,
    /// Milliseconds of rest after the first failure of an upstream; doubles with each further one.
    pub rest_ms: u64,
    /// Milliseconds of rest at most.
    pub rest_most_ms: u64,
    /// Requests that wait at most.
    pub waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // As long as the patient of the users' callers.
            patience_ms: 10_000,
            // Three quarters of the users' usual bound: upstreams count what they are sent, which is more
            // than what this VM knows to have arrived.
            retry_permille: 150,
            retry_slack: 20,
            // The users' usual window.
            retry_ms: 10_000,
            // Half of the users' bound.
            move_permille: 75,
            move_ms: 2_000,
            // About the time of one request: a load older than that is another's by now.
            told_ms: 500,
            // Longer than a crossing between regions, shorter than a report's interval.
            rest_ms: 200,
            // A report of a new incarnation ends a rest anyway.
            rest_most_ms: 5_000,
            // A second's worth of a VM's share of the users' traffic.
            waiting: 512,
        }
    }
}
