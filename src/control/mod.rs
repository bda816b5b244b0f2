//! Control VM: replicated log of commands, operator RPC, configuration for entry VMs.

pub mod settings;
mod wiring;

pub use {
    settings::Settings,
    wiring::{Control, StartError},
};
