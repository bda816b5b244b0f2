//! Tries to run a request, from the first vote asked for to the last one settled.

use {
    crate::{
        clock::Micros,
        keys::TryKey,
        ledger::{Attempt, Fingerprint},
    },
    bytes::Bytes,
    slotmap::SlotMap,
};

/// Where a try stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Votes are asked for.
    Claiming,
    /// It holds a majority, and its request is with the upstreams.
    Running,
    /// It ended, and that is being stored.
    Closing,
}

/// What the ledgers without a granted vote said, the strongest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// Another request has the key.
    Reused,
    /// An earlier try's run may be going on.
    Running,
    /// An earlier try's run may have happened.
    MayHaveRun,
    /// A ledger is full, silent or has forgotten.
    Unavailable,
}

/// One try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// Group of ledgers, by its place in the settings.
    pub group: usize,
    /// Ledgers of the group.
    pub members: u8,
    /// Idempotency key.
    pub key: Bytes,
    /// Hash of the request.
    pub print: Fingerprint,
    /// Identity of this try.
    pub attempt: Attempt,
    /// Where it stands.
    pub phase: Phase,
    /// When the phase ends at the latest.
    pub limit: Micros,
    /// Ledgers that have answered in this phase, one bit each.
    pub heard: u8,
    /// Ledgers that granted, or noted the end, one bit each.
    pub granted: u8,
    /// Strongest obstacle seen.
    pub obstacle: Obstacle,
}

/// Tries of this process.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The tries.
    pub tries: SlotMap<TryKey, Try>,
}
