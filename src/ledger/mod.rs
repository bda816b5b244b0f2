//! Durable votes on idempotency keys, kept on VMs with a disk.
//!
//! A ledger grants a key to one attempt at a time. It syncs every vote before it answers, so that
//! an attempt that holds a majority of a group's ledgers is the only one that may run.

pub mod adopt;
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
    messages::{Attempt, Fingerprint, Order, Reply, Row, Status, Verdict, What},
    serve::register,
    settings::Settings,
    state::Book,
    thread::{Message, spawn},
};
