//! Rows of the catalogue, and the orders that change it.

use {
    crate::{ledger::Fingerprint, poison::Charge, workspaces::Digest},
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Debug, Formatter},
        net::SocketAddr,
    },
};

/// Whether upstreams may process a request of a route more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Idempotent: any number of times.
    Repeatable,
    /// Not idempotent: at most once for each attempt of the caller.
    Once,
    /// Idempotent, with large responses that are read for as long as the caller takes them.
    Bulk,
}

impl Idempotency {
    /// Whether a request may be processed more than once.
    ///
    /// ```
    /// use siskinstep::catalog::Idempotency;
    /// assert!(Idempotency::Bulk.is_repeatable() && !Idempotency::Once.is_repeatable());
    /// ```
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Repeatable | Self::Bulk => true,
            Self::Once => false,
        }
    }
}

/// A service and its weight in a traffic split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Relative weight, in thousandths of a unit.
    pub weight: u64,
}

/// Target services and bounds of the requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Requested host, in lower case.
    pub host: String,
    /// Path prefix; the longest match wins.
    pub prefix: String,
    /// Whether a request may be processed more than once.
    pub kind: Idempotency,
    /// Request timeout in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Priority when capacity is scarce; 0 is served first.
    pub rank: u32,
    /// Maximum number of upstreams that one request may reach.
    pub attempts: u32,
    /// Whether requests with the same affinity key go to the same upstream.
    pub affinity: bool,
    /// Whether callers need no API key, also if the configuration has workspaces.
    #[serde(default)]
    pub public: bool,
    /// Names of the regions that may serve requests; empty for all regions.
    pub homes: Vec<String>,
    /// Services that share the traffic by weight; a single one gets all requests.
    pub parts: Vec<WeightedService>,
    /// The row as the operator submitted it, returned by reads.
    pub source: String,
}

/// A service that upstreams offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of connections that one upstream accepts from all callers combined.
    pub connections: u32,
    /// Duration of the slow start of an upstream after its start, in milliseconds.
    pub cold_ms: u64,
    /// Request rate that a cold upstream accepts from all entry VMs combined, in thousandths of a
    /// request per second.
    pub cold_rate: u64,
    /// The row as the operator submitted it, returned by reads.
    pub source: String,
}

/// A workspace: callers that share API keys, limits and regions.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Digests of its API keys, in ascending order.
    pub keys: Vec<Digest>,
    /// Priority when capacity is scarce, in place of the routes'; `None` to use theirs.
    pub rank: Option<u32>,
    /// Requests that all entry VMs together may send, in thousandths of a request per second; 0 for no limit.
    pub rate: u64,
    /// Requests that may be sent in addition to the rate, in thousandths.
    pub burst: u64,
    /// Names of the regions that may serve its requests; empty for all regions.
    pub homes: Vec<String>,
    /// The row as the operator submitted it, returned by reads. It contains the API keys.
    pub source: String,
}

impl Debug for Workspace {
    /// Omits `source`, so that no log line contains an API key.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workspace")
            .field("keys", &self.keys.len())
            .field("rank", &self.rank)
            .field("rate", &self.rate)
            .field("burst", &self.burst)
            .field("homes", &self.homes)
            .finish_non_exhaustive()
    }
}

/// Limits on what callers may send.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// The row as the operator submitted it, returned by reads.
    pub source: String,
}

/// A complete configuration; rows in ascending order of name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Routes by name.
    pub routes: Vec<(String, Route)>,
    /// Services by name.
    pub services: Vec<(String, Service)>,
    /// Limits on callers, if configured.
    pub limits: Option<Limits>,
    /// Workspaces by name; `None` if callers need no API key.
    #[serde(default)]
    pub workspaces: Option<Vec<(String, Workspace)>>,
}

/// Content of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Replaces the complete configuration.
    Replace(Configuration),
    /// Adds or replaces rows by name, and removes rows.
    Update {
        /// Rows to add or replace.
        put: Configuration,
        /// Names of the routes to remove.
        routes: Vec<String>,
        /// Names of the services to remove.
        services: Vec<String>,
        /// Names of the workspaces to remove.
        #[serde(default)]
        workspaces: Vec<String>,
    },
}

/// Identity of a configuration change: a hash of its content and of its base version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId(pub u64, pub u64);

/// An upstream, as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the service that it offers.
    pub service: String,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Name of its availability zone.
    pub zone: String,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Incarnation: start time in Unix milliseconds on the upstream's clock, 0 if not reported.
    pub born: u64,
    /// Sequence number of the report, ascending within an incarnation.
    pub seq: u64,
    /// Whether it is draining before its shutdown.
    pub leaving: bool,
    /// Remaining slow-start time in milliseconds at the time of the report.
    pub cold_ms: u64,
}

/// A log entry that changes the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Changes the configuration.
    Configure {
        /// Version that the change is based on.
        base: u64,
        /// New version, chosen by the operator.
        version: u64,
        /// Identifies the change, so that a retry is recognised.
        identity: ChangeId,
        /// Content of the change.
        edit: Edit,
    },
    /// Registers an upstream or updates its row, after a report that differs from the row.
    Report {
        /// Name of the upstream.
        id: String,
        /// Content of the report.
        upstream: Upstream,
    },
    /// Removes an upstream that deregistered itself.
    Leave {
        /// Name of the upstream.
        id: String,
        /// Incarnation that deregistered, if given.
        born: Option<u64>,
        /// Latest incarnation that reported to the control VM, whether or not the report was accepted.
        #[serde(default)]
        heard: Option<u64>,
    },
    /// Removes upstreams from which no control VM received a report within the timeout.
    Forget {
        /// Name and incarnation of each.
        silent: Vec<(String, u64)>,
    },
    /// Charges requests with the loss of upstreams that were running them.
    Charge {
        /// The charges.
        charges: Vec<Charge>,
    },
    /// Removes charges.
    Lift {
        /// The request; all requests if absent.
        fingerprint: Option<Fingerprint>,
        /// Latest revision whose charges are removed.
        base: Option<u64>,
    },
    /// Excludes the upstreams of an availability zone from traffic, or admits them again.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is evacuated.
        on: bool,
        /// Revision of the catalogue that a quorum confirmed after the order had arrived. The order is rejected
        /// once a later one for the zone is accepted. `None` in entries of earlier versions, which are always
        /// accepted.
        #[serde(default)]
        base: Option<u64>,
    },
}

impl Order {
    /// What an operator ordered and how to recognise it in the logs of other VMs; `None` for orders that no
    /// operator gave.
    ///
    /// ```
    /// use siskinstep::catalog::Order;
    /// let order = Order::Evacuate { zone: "north-a".into(), on: true, base: Some(7) };
    /// assert_eq!(order.summary().unwrap(), "zone north-a, evacuated true, at revision 7");
    /// ```
    #[must_use]
    pub fn summary(&self) -> Option<String> {
        match self {
            Self::Configure {
                base,
                version,
                identity: ChangeId(high, low),
                ..
            } => Some(format!(
                "configuration {version} on {base}, identity {high:016x}{low:016x}"
            )),
            Self::Evacuate { zone, on, base } => Some(format!(
                "zone {zone}, evacuated {on}, at revision {}",
                base.unwrap_or_default()
            )),
            Self::Report { .. }
            | Self::Leave { .. }
            | Self::Forget { .. }
            | Self::Charge { .. }
            | Self::Lift { .. } => None,
        }
    }
}
