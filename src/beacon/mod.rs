//! Heartbeats of entry VMs: each sends them to every control VM, which lists the live ones.
//!
//! Heartbeats are periodic datagrams. An entry VM that is killed is no longer listed within
//! seconds, and the list of a control VM depends on no other control VM.

pub mod messages;
pub mod receive;
pub mod send;
pub mod state;
#[cfg(test)]
mod tests;

pub use {
    messages::Beacon,
    state::{LiveEntries, LiveEntry},
};
