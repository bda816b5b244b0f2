//! What a ledger is told and what it answers.

use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Identity of one try to run a request: 128 random bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt(pub u64, pub u64);

/// Hash of a request: service, kind, method, target and body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64, pub u64);

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The upstream's answer, as `claims` encoded it.
    Answer(Bytes),
    /// It may have run; there is no answer to give.
    Lost,
}

/// What a ledger is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Asks for the vote on a key.
    Claim {
        /// Idempotency key.
        key: Bytes,
        /// Hash of the request.
        print: Fingerprint,
        /// Who asks.
        attempt: Attempt,
        /// Milliseconds after which the run will have ended.
        run_ms: u64,
    },
    /// Records how the attempt that held a majority ended.
    Settle {
        /// Idempotency key.
        key: Bytes,
        /// Hash of the request.
        print: Fingerprint,
        /// Who ran.
        attempt: Attempt,
        /// How it ended.
        verdict: Verdict,
    },
    /// Gives the vote back: the attempt has not run and never will.
    Release {
        /// Idempotency key.
        key: Bytes,
        /// Who gives it back.
        attempt: Attempt,
    },
}

/// What a ledger answers, after the sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The vote is the attempt's.
    Granted,
    /// Another attempt has the vote.
    Held {
        /// Hash of its request.
        print: Fingerprint,
        /// Whether its run may still be going on.
        running: bool,
    },
    /// The key's run has ended.
    Settled {
        /// Hash of its request.
        print: Fingerprint,
        /// How it ended.
        verdict: Verdict,
    },
    /// This ledger lost its disk and may have forgotten the key.
    Unsure,
    /// The ledger holds as many keys as its settings allow.
    Full,
    /// The order was carried out.
    Noted,
}

/// What a ledger knows of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Idempotency key.
    pub key: Bytes,
    /// Hash of the request.
    pub print: Fingerprint,
    /// Attempt that has, or gave back, the vote.
    pub attempt: Attempt,
    /// Wall-clock milliseconds when the run will have ended.
    pub until: u64,
    /// Wall-clock milliseconds when the row is forgotten.
    pub expires: u64,
    /// State of the key.
    pub what: What,
}

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// The vote was given back; a late claim of the same attempt is not granted again.
    Free,
    /// The attempt has the vote.
    Held,
    /// The run has ended.
    Settled(Verdict),
}

/// What a ledger says of itself to the others of its group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Random; a new one for every disk.
    pub incarnation: u64,
    /// Wall-clock milliseconds when that disk came into use.
    pub born: u64,
    /// Whether it has forgotten nothing, and votes.
    pub sure: bool,
    /// Incarnations of the blank ledgers that founded the group with it.
    pub founders: Vec<u64>,
}
