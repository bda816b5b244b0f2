//! A control VM: agreement on commands, the operators' RPC, configuration for entry VMs.

pub mod settings;
mod wiring;

pub use {
    settings::Settings,
    wiring::{Control, StartError},
};
