//! Durable votes on idempotency keys, stored on VMs with a disk.
//!
//! A ledger grants a key to one attempt at a time and syncs each vote before it replies. An attempt
//! that has votes of a majority of a group's ledgers is therefore the only one that may run.

pub mod bootstrap;
pub mod decide;
mod disk;
pub mod encode;
pub mod join;
pub mod messages;
pub mod serve;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{AttemptId, Fingerprint, Order, Reply, Row, Status, StoredOutcome, VoteState},
    serve::register,
    settings::Settings,
    state::VoteTable,
    thread::{Message, spawn},
};
