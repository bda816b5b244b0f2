//! Messages of the poison duty.

use {
    crate::{catalog::Catalog, ledger::Fingerprint},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A process of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// Address of its listener.
    pub address: SocketAddr,
    /// Incarnation: start time in Unix milliseconds on the upstream's clock, 0 if unknown.
    pub born: u64,
}

/// The part of a catalogue that the duty acts on. Not the catalogue itself: holding it would make its follower copy
/// it with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Followed {
    /// Revision of the catalogue.
    pub revision: u64,
    /// Charged requests and the processes that were lost, in ascending order.
    pub charges: Vec<(Fingerprint, Vec<Process>)>,
    /// Addresses of the upstreams that are registered and not leaving, in ascending order.
    pub serving: Vec<SocketAddr>,
}

impl Followed {
    /// Reads them from a catalogue.
    ///
    /// ```
    /// use siskinstep::{catalog::Catalog, poison::Followed};
    /// assert_eq!(Followed::new(&Catalog::default()), Followed::default());
    /// ```
    #[must_use]
    pub fn new(catalog: &Catalog) -> Self {
        let charges = catalog.charges.rows().iter();
        let charges = charges
            .filter_map(|row| Some((Fingerprint::parse(&row.name)?, row.value.clone())))
            .collect();
        let upstreams = catalog.upstreams.rows().iter();
        let upstreams = upstreams.filter(|row| !row.value.leaving);
        let mut serving: Vec<_> = upstreams.map(|row| row.value.address).collect();
        serving.sort_unstable();
        Self {
            revision: catalog.revision,
            charges,
            serving,
        }
    }
}

/// Input of the poison duty.
pub enum Message {
    /// A connection to an upstream was cut after a request was written to it.
    Cut {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Process of the upstream.
        process: Process,
    },
    /// An upstream with a cut connection refuses new ones.
    Lost(SocketAddr),
    /// A charged request received a response.
    Responded(Fingerprint),
    /// A peer has charged requests.
    Charged(Vec<Charge>),
    /// What a newer catalogue says of charges and upstreams.
    Catalog(Followed),
    /// An operator, or a peer on behalf of one, lifts charges.
    Lift {
        /// Charges to lift.
        lift: Lift,
        /// Whether to notify the peers.
        notify_peers: bool,
    },
    /// Requests the list of charged requests.
    Read(Box<dyn FnOnce(Vec<ChargedRequest>) + Send>),
}

/// Loss of an upstream, charged to a request that was running on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Charge {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Address of the lost upstream.
    pub upstream: SocketAddr,
    /// Incarnation of the lost process, 0 if unknown.
    #[serde(default)]
    pub born: u64,
}

/// Charges that are sent together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Charges {
    /// The charges.
    pub charges: Vec<Charge>,
}

/// Order to lift the charges of one request, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lift {
    /// Fingerprint of the request; all requests if absent.
    #[serde(rename = "print")]
    pub fingerprint: Option<Fingerprint>,
    /// Revision of the catalogue that the order is based on: charges that were accepted later remain. `None`
    /// where charges are not replicated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
}

/// Charged request in the list for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChargedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Upstreams that were lost while running the request.
    pub upstreams: Vec<SocketAddr>,
    /// Whether the request is refused.
    pub poisoned: bool,
    /// Time until the charges expire, in milliseconds.
    pub left_ms: u64,
}
