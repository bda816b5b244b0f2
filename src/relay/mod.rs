//! Carries one attempt to an upstream and its complete answer back.

mod attempt;
pub mod messages;
pub(crate) mod pool;
pub mod settings;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Dispatch, Failure},
    settings::Settings,
    thread::spawn,
};
