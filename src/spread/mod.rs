//! Brings the accepted configuration to every entry VM, by version, never backwards.
//!
//! Two VMs of each zone ask control, the others ask these two. A VM that starts without a disk
//! asks its zone first, so that it never serves under an older version than its peers.

mod decide;
mod disk;
mod fleet;
pub mod messages;
mod serve;
pub mod settings;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    fleet::{Fleet, FleetRow},
    messages::{Fetch, Fetched, Report, Subscribers},
    serve::{Source, register},
    settings::Settings,
    thread::{Wires, spawn},
};
