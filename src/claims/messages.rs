//! Messages of the claims duty.

use {
    super::decide::LedgerReply,
    crate::{
        call::{Call, Outcome, Reply},
        keys::ClaimAttemptKey,
        ledger::Order,
    },
};

/// Input of the claims duty.
pub enum Message {
    /// A request to serve.
    Place(Call),
    /// Reply of a ledger to an order of an attempt.
    LedgerReply(ClaimAttemptKey, LedgerReply),
    /// The run of an attempt ended; the caller has not received the response yet.
    Ended {
        /// The attempt.
        at: ClaimAttemptKey,
        /// Outcome of the run.
        outcome: Outcome,
        /// Sends the response to the caller.
        reply: Reply,
    },
}

/// An order for every ledger of a group.
#[derive(Clone, Debug)]
pub struct Broadcast {
    /// The attempt that sends it.
    pub at: ClaimAttemptKey,
    /// Index of the ledger group in the settings.
    pub group: usize,
    /// Phase of the attempt when the order was sent.
    pub phase: super::state::Phase,
    /// The order.
    pub order: Order,
}
