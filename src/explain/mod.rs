//! Records the latest decisions about requests, so that operators can look up why a request was
//! routed, retried or refused.

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
