//! Messages of the claims duty.

use {
    super::decide::Heard,
    crate::{
        call::{Call, Outcome, Reply},
        keys::TryKey,
        ledger::Order,
    },
};

/// What the duty is told.
pub enum Message {
    /// A request that is to be served.
    Place(Call),
    /// A ledger's answer to an order of a try.
    Heard(TryKey, Heard),
    /// The run of a try ended; the caller has not been told yet.
    Ended {
        /// The try.
        at: TryKey,
        /// How its run ended.
        outcome: Outcome,
        /// Tells the caller.
        reply: Reply,
    },
}

/// An order for every ledger of a group.
#[derive(Clone, Debug)]
pub struct Broadcast {
    /// The try that it belongs to.
    pub at: TryKey,
    /// Group of ledgers, by its place in the settings.
    pub group: usize,
    /// Phase of the try.
    pub phase: super::state::Phase,
    /// The order.
    pub order: Order,
}
