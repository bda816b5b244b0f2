//! Plan of a load run: targets, kinds of requests, rates and duration.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Policy that selects the target of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Steering {
    /// Entry VMs of the nearest zone in the last look-up response, by weight.
    Siskinstep,
    /// Upstreams in rotation, bypassing the entry VMs.
    RoundRobin,
    /// The upstream with the lowest reported load, bypassing the entry VMs.
    LeastLoad,
}

impl Steering {
    /// Name in plans and reports.
    ///
    /// ```
    /// assert_eq!(siskinstep::load::Steering::LeastLoad.name(), "least_load");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Siskinstep => "siskinstep",
            Self::RoundRobin => "round_robin",
            Self::LeastLoad => "least_load",
        }
    }
}

/// One kind of request in a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Path, such as `/cellwatch/check`; a path that starts with `/v1/lookup` is a look-up.
    pub path: String,
    /// Mean number of requests per second, over all threads.
    pub rate: u32,
    /// Configured worth of one response, the weight of this kind in the summary.
    #[serde(default = "default_worth")]
    pub worth: u32,
    /// Time budget of the caller, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Whether each request carries a unique idempotency key.
    #[serde(default)]
    pub once: bool,
}

impl Kind {
    /// Whether requests of this kind are look-ups of entry VMs.
    #[must_use]
    pub fn is_lookup(&self) -> bool {
        self.path.starts_with("/v1/lookup")
    }
}

const fn default_worth() -> u32 {
    10
}

const fn default_deadline() -> u64 {
    2_000
}

const fn default_threads() -> usize {
    1
}

const fn default_connections() -> usize {
    64
}

const fn default_poll() -> u64 {
    500
}

/// Load run: one phase for each steering, one after another, against the same targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Entry VMs to which look-ups are sent.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Upstreams for steerings that bypass the entry VMs.
    #[serde(default)]
    pub upstreams: Vec<SocketAddr>,
    /// Steerings to run, one phase each.
    pub steerings: Vec<Steering>,
    /// Duration of each phase, in seconds.
    pub seconds: u64,
    /// Number of sending threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Maximum number of requests in flight per thread. Further requests wait for a permit, and the
    /// wait counts as latency.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Interval at which the upstreams' load is polled, in milliseconds.
    #[serde(default = "default_poll")]
    pub poll_ms: u64,
    /// Seed of the random gaps between requests; thread `n`, counted from zero, uses `seed + n`.
    #[serde(default)]
    pub seed: u64,
    /// Kinds of requests to send.
    pub kinds: Vec<Kind>,
}

impl Plan {
    /// Returns every violation that prevents the plan from being run, each with the field's name.
    /// An empty result means that the plan is valid.
    ///
    /// ```
    /// let text = r#"{"steerings": ["siskinstep"], "seconds": 1, "kinds": []}"#;
    /// let plan: siskinstep::load::Plan = serde_json::from_str(text).unwrap();
    /// assert_eq!(plan.findings().len(), 2);
    /// ```
    #[must_use]
    pub fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        let mut check = |is_valid: bool, text: &str| {
            if !is_valid {
                findings.push(text.to_owned());
            }
        };
        let needs_entries = self.steerings.contains(&Steering::Siskinstep);
        let needs_upstreams = self
            .steerings
            .iter()
            .any(|steering| *steering != Steering::Siskinstep);
        let has_valid_rate = |kind: &Kind| (1..=1_000_000).contains(&kind.rate);
        check(
            !self.steerings.is_empty(),
            "steerings: expected at least one",
        );
        check(
            !needs_entries || !self.entries.is_empty(),
            "entries: expected at least one for siskinstep",
        );
        check(
            !needs_upstreams || !self.upstreams.is_empty(),
            "upstreams: expected at least one",
        );
        check(
            (1..=86_400).contains(&self.seconds),
            "seconds: expected 1 to 86400",
        );
        check(
            (1..=64).contains(&self.threads),
            "threads: expected 1 to 64",
        );
        check(
            (1..=100_000).contains(&self.connections),
            "connections: expected 1 to 100000",
        );
        check(self.poll_ms > 0, "poll_ms: expected at least 1");
        check(!self.kinds.is_empty(), "kinds: expected at least one");
        check(
            self.kinds.iter().all(has_valid_rate),
            "kinds: expected a rate of 1 to 1000000",
        );
        let paths = self.kinds.iter().all(|kind| kind.path.starts_with('/'));
        check(paths, "kinds: expected a path that starts with /");
        findings
    }
}
