//! Forwards requests to other entry VMs and returns their outcomes.

mod decide;
mod encode;
pub mod messages;
mod receive;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Message, Peer},
    receive::receive,
    settings::Settings,
    thread::spawn,
};
