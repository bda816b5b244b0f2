//! Settings of the steer duty.

/// Settings of the steer duty. Ratios are in permille.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout in milliseconds of a request whose caller sent no deadline.
    pub timeout_ms: u64,
    /// Retries allowed per thousand first attempts in a window, over all entry VMs.
    pub retry_permille: u64,
    /// Additional retries allowed in each window, over all entry VMs.
    pub retry_slack: u64,
    /// Length of the retry window in milliseconds.
    pub retry_ms: u64,
    /// Maximum change from one window to the next of the share of requests that leave the region.
    pub move_permille: u64,
    /// Length of that window in milliseconds.
    pub move_ms: u64,
    /// Half-life in milliseconds of the reported load of other VMs.
    pub load_decay_ms: u64,
    /// Back-off in milliseconds after an upstream's first failure; doubles with each consecutive one.
    pub backoff_ms: u64,
    /// Maximum back-off in milliseconds.
    pub max_backoff_ms: u64,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Bytes of request bodies in flight to one upstream; a single larger body may go alone.
    pub upstream_body_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // The longest timeout that callers usually set.
            timeout_ms: 10_000,
            // Three quarters of the usual limit: upstreams also count requests sent to them that this VM does
            // not know to have arrived.
            retry_permille: 150,
            retry_slack: 20,
            // The usual window of the retry limit.
            retry_ms: 10_000,
            // Half of the usual limit.
            move_permille: 75,
            move_ms: 2_000,
            // About the duration of one request: after that, the load consists of other requests.
            load_decay_ms: 500,
            // Longer than a round trip between regions, shorter than the interval of upstream reports.
            backoff_ms: 200,
            // A report of a new incarnation ends the back-off anyway.
            max_backoff_ms: 5_000,
            // One second of a VM's share of the usual traffic.
            max_waiting: 512,
            // Several bodies of the largest size that callers usually may send.
            upstream_body_bytes: 8 << 20,
        }
    }
}
