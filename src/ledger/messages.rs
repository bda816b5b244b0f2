//! Orders to ledgers, their replies, and stored rows.

use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Identity of one attempt to run a request: 128 random bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId(pub u64, pub u64);

/// Hash of a request's service, kind, method, target and body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64, pub u64);

impl Fingerprint {
    /// The fingerprint as 32 hexadecimal digits.
    ///
    /// ```
    /// use siskinstep::ledger::Fingerprint;
    /// let fingerprint = Fingerprint(1, 2);
    /// assert_eq!(Fingerprint::parse(&fingerprint.hex()), Some(fingerprint));
    /// ```
    #[must_use]
    pub fn hex(self) -> String {
        format!("{:016x}{:016x}", self.0, self.1)
    }

    /// Parses 32 hexadecimal digits.
    ///
    /// ```
    /// assert!(siskinstep::ledger::Fingerprint::parse("12").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 32 && text.bytes().all(|digit| digit.is_ascii_hexdigit());
        let (high, low) = text.split_at_checked(16).filter(|_| is_hex)?;
        let high = u64::from_str_radix(high, 16).ok()?;
        let low = u64::from_str_radix(low, 16).ok()?;
        Some(Self(high, low))
    }
}

/// Outcome of a run as ledgers store it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredOutcome {
    /// The upstream's response, as encoded by `claims`.
    Answer(Bytes),
    /// The request may have run, but there is no response to replay.
    Lost,
}

/// Request to a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Requests the vote on a key.
    Claim {
        /// Idempotency key.
        key: Bytes,
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// Attempt that requests the vote.
        attempt: AttemptId,
        /// Longest time that the run may take, in milliseconds.
        run_ms: u64,
    },
    /// Records the outcome of the attempt that had a majority.
    Settle {
        /// Idempotency key.
        key: Bytes,
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// Attempt that ran.
        attempt: AttemptId,
        /// Outcome of the run.
        #[serde(rename = "verdict")]
        outcome: StoredOutcome,
    },
    /// Releases the vote: the attempt has not run and never will.
    Release {
        /// Idempotency key.
        key: Bytes,
        /// Attempt that releases the vote.
        attempt: AttemptId,
    },
}

/// Reply of a ledger, sent after the sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt has the vote.
    Granted,
    /// The vote is not available: another attempt has it, the same attempt has released it, or the
    /// ledger does not vote and has only copied it.
    Held {
        /// Fingerprint of the holder's request.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// Whether the holder's run may still be in progress.
        running: bool,
    },
    /// The run of the key has ended.
    Settled {
        /// Fingerprint of the request that ran.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// Outcome of the run.
        #[serde(rename = "verdict")]
        outcome: StoredOutcome,
    },
    /// The ledger is blank or lost its disk, so it may have voted on the key before.
    Unsure,
    /// The ledger has reached the configured maximum of keys or bytes.
    Full,
    /// The order was applied.
    Noted,
}

/// Row of one key in a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Idempotency key.
    pub key: Bytes,
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Attempt that has or released the vote, or that ran.
    pub attempt: AttemptId,
    /// Wall-clock time in milliseconds by which the run has ended; used only while the vote
    /// is held.
    pub until: u64,
    /// Wall-clock time in milliseconds at which the row expires.
    pub expires: u64,
    /// State of the vote.
    #[serde(rename = "what")]
    pub state: VoteState,
}

/// State of the vote on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteState {
    /// The vote was released; a late claim of the same attempt is not granted.
    Free,
    /// The attempt has the vote.
    Held,
    /// The run has ended.
    Settled(StoredOutcome),
}

/// Status that a ledger stores and reports to the others of its group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Random identity, different for every disk.
    pub incarnation: u64,
    /// Wall-clock time in milliseconds at which the disk came into use.
    #[serde(rename = "born")]
    pub created_ms: u64,
    /// Whether the ledger votes, as no unexpired key can be missing.
    #[serde(rename = "sure")]
    pub is_voting: bool,
    /// Incarnations of the blank ledgers that founded the group together.
    pub founders: Vec<u64>,
}
