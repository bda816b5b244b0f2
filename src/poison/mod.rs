//! Detection of poison requests, which crash the upstreams they run on; they are refused throughout
//! the availability zone.

pub mod decide;
mod guard;
pub mod messages;
mod send;
pub mod serve;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    guard::{Guard, Verdicts},
    messages::{Charge, ChargedRequest, Lift, Message},
    serve::register,
    settings::Settings,
    thread::{Dependencies, spawn},
};
