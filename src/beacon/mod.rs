//! Who serves: entry VMs tell every control VM that they are there, and control VMs remember it.
//!
//! A datagram now and then, to each control VM: one that is killed is no longer named within
//! seconds, and what a control VM knows rests on no other.

pub mod messages;
pub mod receive;
pub mod send;
pub mod state;
#[cfg(test)]
mod tests;

pub use {
    messages::Beacon,
    state::{Live, LiveEntries},
};
