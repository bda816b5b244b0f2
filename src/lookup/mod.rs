//! Look-ups by callers: returns the entry VMs to use, ranked, with a TTL.
//!
//! The thread ranks the VMs after every change of members or drains, and publishes the ranking;
//! the caller listener responds with the latest one without a message to the thread.

mod decide;
pub mod messages;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    decide::rank,
    messages::{Message, RankedVm, Ranking},
    settings::Settings,
    thread::spawn,
};
