//! Messages of the poison duty.

use {
    crate::ledger::Fingerprint,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What the duty is told.
pub enum Message {
    /// An upstream's connection was cut after a request was written to it.
    Cut {
        /// The request.
        print: Fingerprint,
        /// The upstream.
        address: SocketAddr,
    },
    /// A request that has been charged got an answer.
    Answered(Fingerprint),
    /// A peer charges a request.
    Charged(Charge),
    /// An operator, or a peer for one, lifts charges.
    Lift {
        /// Which.
        lift: Lift,
        /// Whether to tell the peers.
        spread: bool,
    },
    /// Asks for the charges.
    Read(Box<dyn FnOnce(Vec<Listed>) + Send>),
}

/// The loss of an upstream, charged to a request that it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Charge {
    /// The request.
    pub print: Fingerprint,
    /// The upstream that was lost.
    pub upstream: SocketAddr,
}

/// Lifts the charges of one request, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lift {
    /// The request; all if absent.
    pub print: Option<Fingerprint>,
}

/// One charged request as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The request.
    pub print: Fingerprint,
    /// Upstreams that were lost while they ran it.
    pub upstreams: Vec<SocketAddr>,
    /// Whether it is refused.
    pub poisoned: bool,
    /// Milliseconds until the charges are forgotten.
    pub left_ms: u64,
}
