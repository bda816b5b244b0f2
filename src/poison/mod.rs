//! Detection of poison requests, which crash the upstreams they run on; they are refused throughout
//! the availability zone, or the fleet where control VMs count the losses (`catalog::charges`).

pub mod decide;
mod guard;
pub mod messages;
mod monitor;
mod send;
pub mod serve;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    guard::Guard,
    messages::{Charge, ChargedRequest, Charges, Followed, Lift, Message, Process},
    monitor::{Monitor, Verdicts, fingerprint},
    send::Recipients,
    serve::{register, register_orders},
    settings::Settings,
    thread::{Dependencies, spawn},
};
