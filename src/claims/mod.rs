//! At-most-once execution: claims the idempotency key of a request on a majority of a group's
//! ledgers before dispatch, and stores the response there before the caller receives it.

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
    thread::{Outputs, spawn},
};
