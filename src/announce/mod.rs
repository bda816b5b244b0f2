//! Upstreams announce themselves and renew a lease; this duty knows who is there.

mod decide;
mod encode;
pub mod messages;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    encode::{Body, handler},
    messages::{Announcement, Lease, Message, Notice},
    settings::Settings,
    thread::spawn,
};
