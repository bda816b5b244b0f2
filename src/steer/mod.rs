//! Which upstream a request goes to, and when: placing, waiting, refusing and trying again.
//!
//! Every entry VM decides alone, from the catalogue, its own requests in flight and the load that
//! upstreams tell in their answers.

mod budget;
mod catalog;
mod decide;
mod learn;
pub mod messages;
mod moves;
mod place;
mod reach;
pub mod settings;
mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Ask, Message},
    settings::Settings,
    thread::{Wires, spawn},
};
