//! Messages of the poison duty.

use {
    crate::ledger::Fingerprint,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Input of the poison duty.
pub enum Message {
    /// A connection to an upstream was cut after a request was written to it.
    Cut {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Address of the upstream.
        address: SocketAddr,
    },
    /// A charged request received a response.
    Responded(Fingerprint),
    /// A peer has charged a request.
    Charged(Charge),
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
}

/// Order to lift the charges of one request, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lift {
    /// Fingerprint of the request; all requests if absent.
    #[serde(rename = "print")]
    pub fingerprint: Option<Fingerprint>,
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
