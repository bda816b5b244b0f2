//! Refuses requests that crash the upstreams they run on, throughout the availability zone.

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
