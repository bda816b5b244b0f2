//! Carries one attempt to an upstream and its complete answer back.

mod attempt;
pub mod messages;
mod pool;
pub mod settings;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Dispatch, Failure},
    settings::Settings,
    thread::{Sender, bounded, spawn},
};
