//! Who runs a request: counts the slots of upstreams exactly and picks one with room.

pub mod budget;
mod choose;
mod decide;
pub mod messages;
mod news;
mod queue;
pub mod rows;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;
mod visit;

pub use {
    messages::{Message, Status},
    settings::Settings,
    thread::{Out, spawn},
};
