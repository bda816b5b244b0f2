//! An entry VM: its duties, the rings between them and its listeners.

mod guards;
mod links;
pub mod settings;
mod wiring;

pub use {
    settings::Settings,
    wiring::{Entry, StartError},
};
