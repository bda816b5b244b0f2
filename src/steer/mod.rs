//! Selects the upstream and the time for each request: placement, queueing, refusal and retries.
//!
//! Each entry VM decides independently, from the catalogue, its local requests in flight and the load that
//! upstreams report in their responses.

mod allotment;
mod bodies;
mod budget;
mod catalog;
mod decide;
mod fleet;
mod identity;
mod learn;
mod locality;
pub mod messages;
mod pacing;
mod place;
mod pressure;
mod queue;
pub mod settings;
mod split;
mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Message, Request},
    settings::Settings,
    thread::{Dependencies, spawn},
};
