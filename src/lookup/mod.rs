//! Which entry VMs a caller should use, and for how long.
//!
//! The thread ranks the VMs whenever members or drains change, and publishes the ranking; the
//! caller listener answers from the last one without a hop.

mod decide;
pub mod messages;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    decide::rank,
    messages::{Message, Ranked, Ranking},
    settings::Settings,
    thread::spawn,
};
