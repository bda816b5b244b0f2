//! Remembers what was decided for the latest requests, so that an operator can ask why.

pub mod messages;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Message, Note, Step},
    settings::Settings,
    thread::spawn,
};
