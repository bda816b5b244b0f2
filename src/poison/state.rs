//! Cut connections that may indicate a lost upstream, and requests charged with losses.

use {
    crate::{clock::Micros, ledger::Fingerprint, sorted::Sorted},
    std::{collections::VecDeque, net::SocketAddr},
};

/// Connection that was cut after a request was written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Time of the cut.
    pub at: Micros,
}

/// Losses that a request is charged with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChargeRecord {
    /// Lost upstreams and the time at which each loss was charged.
    pub losses: Vec<(SocketAddr, Micros)>,
    /// Time at which the charges expire.
    pub until: Micros,
}

/// Cut connections and charges.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Recent cuts, oldest first.
    pub cuts: VecDeque<Cut>,
    /// Charges by fingerprint of the request.
    pub charges: Sorted<Fingerprint, ChargeRecord>,
}
