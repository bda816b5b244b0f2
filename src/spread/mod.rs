//! Distribution of the accepted configuration to every entry VM. The version in force on a VM never
//! decreases.
//!
//! Two VMs of each zone poll control, and the others poll these two. A VM that starts without a
//! disk first reaches the version of its zone, so that it does not serve under an older version
//! than its peers. It waits for that version at most `start_ms`; the metric `config_floor_missed`
//! counts the starts that served without it.

mod decide;
mod disk;
mod fetch;
mod fleet;
pub mod messages;
mod serve;
pub mod settings;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    fleet::{Fleet, FleetRow},
    messages::{FetchRequest, FetchResponse, Subscribers, VersionReport},
    serve::{Source, register},
    settings::Settings,
    thread::{Dependencies, spawn},
};
