//! An entry VM: its duties, the rings between them and its listeners.

mod duties;
mod guards;
mod links;
mod open;
mod rings;
pub mod settings;
mod wiring;

pub use {
    settings::Settings,
    wiring::{Entry, StartError},
};
