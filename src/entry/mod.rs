//! Entry VM: its duties, the rings between them, and its listeners.

mod duties;
mod listeners;
mod peer_services;
mod rings;
pub mod settings;
mod watches;
mod wiring;

pub use {
    settings::Settings,
    wiring::{Entry, StartError},
};
