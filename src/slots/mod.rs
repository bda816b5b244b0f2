//! Assigns requests to upstreams: counts the slots of each upstream exactly and selects one with a
//! free slot.

pub mod budget;
mod choose;
mod cross_zone;
mod decide;
pub mod messages;
mod notices;
mod queue;
pub mod rows;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Message, Status},
    settings::Settings,
    thread::{Outputs, spawn},
};
