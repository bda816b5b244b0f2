//! Cut connections that may mean a lost upstream, and requests charged with losses.

use {
    crate::{clock::Micros, ledger::Fingerprint, sorted::Sorted},
    std::{collections::VecDeque, net::SocketAddr},
};

/// A cut connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Request that had been written to it.
    pub print: Fingerprint,
    /// Upstream.
    pub address: SocketAddr,
    /// When.
    pub at: Micros,
}

/// What a request is charged with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Lost upstreams, and when each loss was charged.
    pub losses: Vec<(SocketAddr, Micros)>,
    /// When the charges are forgotten.
    pub until: Micros,
}

/// Cut connections and charges.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Latest cuts, oldest first.
    pub cuts: VecDeque<Cut>,
    /// Charges by request.
    pub charges: Sorted<Fingerprint, Record>,
}
