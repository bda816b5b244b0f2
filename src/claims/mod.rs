//! Runs a request at most once: claims its idempotency key on a majority of a group's ledgers
//! before anything is dispatched, and stores the outcome there before the caller sees it.

pub mod decide;
pub mod encode;
pub mod home;
pub mod messages;
pub mod send;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Broadcast, Message},
    settings::{Group, Settings},
    thread::{Wires, spawn},
};
