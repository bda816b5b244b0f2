//! Cut connections that may indicate a lost upstream, and requests charged with losses.

use {
    super::messages::Process,
    crate::{clock::Micros, ledger::Fingerprint, sorted::Sorted},
    std::collections::VecDeque,
};

/// Connection that was cut after a request was written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Process of the upstream.
    pub process: Process,
    /// Time of the cut.
    pub at: Micros,
}

/// Losses that a request is charged with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChargeRecord {
    /// Lost processes and the time at which each loss was charged.
    pub losses: Vec<(Process, Micros)>,
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
    /// Requests that the control VMs hold charges of, in ascending order. These do not expire here.
    pub replicated: Vec<Fingerprint>,
    /// Revision of the catalogue from which these were read.
    pub revision: u64,
}
