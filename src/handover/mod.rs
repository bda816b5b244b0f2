//! Hands orders and reads that reach a control VM over to the leader, and returns its answer.
//!
//! Operators and upstreams call any control VM. Over kept connections between control VMs, the answer
//! costs the leader less than a caller that is redirected to it.

mod decide;
mod evacuate;
mod failed;
pub mod messages;
pub mod serve;
mod spent;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Message, ReadResult},
    thread::{Dependencies, spawn},
};
