//! What to send, where to, how fast and for how long.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Who picks the target of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Steering {
    /// Entry VMs, by the last look-up answer.
    Siskinstep,
    /// Upstreams in turn, without an entry VM.
    RoundRobin,
    /// The upstream that reported the least load, without an entry VM.
    LeastLoad,
}

impl Steering {
    /// The name used in plans and reports.
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

/// One kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Path, such as `/cellwatch/check`, or `/v1/lookup` for look-ups.
    pub path: String,
    /// Requests a second.
    pub rate: u32,
    /// Stated worth of one answer.
    #[serde(default = "default_worth")]
    pub worth: u32,
    /// Milliseconds that the caller waits.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Whether each request carries an idempotency key of its own.
    #[serde(default)]
    pub once: bool,
}

impl Kind {
    /// Whether it asks for entry VMs.
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

/// A run: each steering in turn, against the same targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Entry VMs that are asked for look-ups.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Upstreams, for steerings that bypass the entry VMs.
    #[serde(default)]
    pub upstreams: Vec<SocketAddr>,
    /// Who picks targets, one phase each.
    pub steerings: Vec<Steering>,
    /// Seconds for each phase.
    pub seconds: u64,
    /// Threads that send.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Requests in flight at most for each thread; more wait, and their wait is measured.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Milliseconds between two readings of the upstreams' load.
    #[serde(default = "default_poll")]
    pub poll_ms: u64,
    /// Seed of the random gaps between requests.
    #[serde(default)]
    pub seed: u64,
    /// What is sent.
    pub kinds: Vec<Kind>,
}

impl Plan {
    /// Every reason for which the plan cannot be run, each with its place.
    ///
    /// ```
    /// let text = r#"{"steerings": ["siskinstep"], "seconds": 1, "kinds": []}"#;
    /// let plan: siskinstep::load::Plan = serde_json::from_str(text).unwrap();
    /// assert_eq!(plan.findings().len(), 2);
    /// ```
    #[must_use]
    pub fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        let mut check = |sound: bool, text: &str| {
            if !sound {
                findings.push(text.to_owned());
            }
        };
        let entries = self.steerings.contains(&Steering::Siskinstep);
        let upstreams = self.steerings.iter().any(|s| *s != Steering::Siskinstep);
        let sends = |kind: &Kind| (1..=1_000_000).contains(&kind.rate);
        check(
            !self.steerings.is_empty(),
            "steerings: expected at least one",
        );
        check(
            !entries || !self.entries.is_empty(),
            "entries: expected at least one for siskinstep",
        );
        check(
            !upstreams || !self.upstreams.is_empty(),
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
            self.kinds.iter().all(sends),
            "kinds: expected a rate of 1 to 1000000",
        );
        let paths = self.kinds.iter().all(|kind| kind.path.starts_with('/'));
        check(paths, "kinds: expected a path that starts with /");
        findings
    }
}
