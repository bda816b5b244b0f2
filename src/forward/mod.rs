//! Takes a request to an entry VM of another availability zone, and its outcome back.

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
