//! Orders that change the catalogue, and its rows.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Any number of times.
    Repeatable,
    /// Once at most for each of the caller's attempts.
    Once,
}

/// A part of a weighted split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that gets the part.
    pub service: String,
    /// Thousandths of a unit of weight.
    pub weight: u64,
}

/// Where requests of a host and path prefix go, and within which bounds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the path; the longest that fits wins.
    pub prefix: String,
    /// How often a request may run.
    pub kind: Idempotency,
    /// Milliseconds after which a request is given up.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Rank under scarcity; 0 is served first.
    pub rank: u32,
    /// Upstreams at most that one request may reach.
    pub attempts: u32,
    /// Whether requests with one affinity key go to one upstream.
    pub affinity: bool,
    /// Regions that requests may be served in; empty for all.
    pub homes: Vec<String>,
    /// Services, by weight; one alone gets everything.
    pub parts: Vec<WeightedService>,
    /// The operator's own text of the row, for reading back.
    pub source: String,
}

/// A service that upstreams offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one upstream takes from all callers together.
    pub connections: u32,
    /// Milliseconds for which an upstream is cold after a start.
    pub cold_ms: u64,
    /// Thousandths of a request a second that a cold upstream takes from all entry VMs together.
    pub cold_rate: u64,
    /// The operator's own text of the row, for reading back.
    pub source: String,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request body at most.
    pub body_bytes: u64,
    /// The operator's own text of the row, for reading back.
    pub source: String,
}

/// A whole configuration; rows by rising name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Routes by name.
    pub routes: Vec<(String, Route)>,
    /// Services by name.
    pub services: Vec<(String, Service)>,
    /// Bounds on callers, if given.
    pub limits: Option<Limits>,
}

/// What a change of configuration does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Takes the place of everything.
    Replace(Configuration),
    /// Adds or replaces rows by name, and removes some.
    Update {
        /// Rows that come into force.
        put: Configuration,
        /// Names of routes that go.
        routes: Vec<String>,
        /// Names of services that go.
        services: Vec<String>,
    },
}

/// Identity of a change: a hash of its content and of the version that it builds on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId(pub u64, pub u64);

/// An upstream as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Service that it offers.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Its incarnation: Unix milliseconds of its start on its own clock, 0 if it does not say.
    pub born: u64,
    /// Number of the report, rising within an incarnation.
    pub seq: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Milliseconds that it was to stay cold, when it was reported.
    pub cold_ms: u64,
}

/// A change of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// A change of configuration.
    Configure {
        /// Version that it builds on.
        base: u64,
        /// Version that it makes, which the operator picks.
        version: u64,
        /// By which it is known again.
        identity: ChangeId,
        /// What changes.
        edit: Edit,
    },
    /// An upstream's report that says something new.
    Report {
        /// Its name.
        id: String,
        /// What it says.
        upstream: Upstream,
    },
    /// An upstream is gone by its own word.
    Leave {
        /// Its name.
        id: String,
        /// Its incarnation, if it says.
        born: Option<u64>,
        /// The newest incarnation that reported to the control VM, whether or not the report was accepted.
        #[serde(default)]
        heard: Option<u64>,
    },
    /// Upstreams that no control VM has heard for long.
    Forget {
        /// Name and incarnation of each.
        silent: Vec<(String, u64)>,
    },
    /// An availability zone's upstreams get nothing, or may be used again.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether it is emptied.
        on: bool,
    },
}
