//! Open attempts, from the first vote request until the outcome is settled.

use {
    crate::{
        clock::Micros,
        keys::ClaimAttemptKey,
        ledger::{AttemptId, Fingerprint},
    },
    bytes::Bytes,
    slotmap::SlotMap,
};

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Votes are being collected.
    Claiming,
    /// The attempt has a majority of votes and its request has been dispatched.
    Running,
    /// The run has ended and its response is being stored.
    Closing,
}

/// Reason why ledgers did not grant their vote, in descending order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// The key is claimed for a different request.
    Reused,
    /// The run of an earlier attempt may be in progress.
    Running,
    /// An earlier attempt may have run.
    MayHaveRun,
    /// A ledger is full, unreachable or does not vote as it lost its data.
    Unavailable,
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Index of the ledger group in the settings.
    pub group: usize,
    /// Number of ledgers in the group.
    pub members: u8,
    /// Idempotency key.
    pub key: Bytes,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Identity of the attempt.
    pub id: AttemptId,
    /// Current phase.
    pub phase: Phase,
    /// Time at which the phase times out.
    pub deadline: Micros,
    /// Bit set of the ledgers that have replied in this phase.
    pub replied: u8,
    /// Bit set of the ledgers that granted the vote or acknowledged the settlement.
    pub granted: u8,
    /// Denial of the highest precedence among the replies.
    pub denial: Denial,
}

/// Attempts of this process.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Open attempts.
    pub attempts: SlotMap<ClaimAttemptKey, Attempt>,
}
