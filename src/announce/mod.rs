//! Registers upstreams: they announce themselves to an entry VM and renew a lease.
//!
//! The upstream chooses its home: it echoes the token of one VM only, and only that VM sends it
//! requests. `docs/upstreams.md` specifies the protocol.

pub(crate) mod decide;
mod encode;
pub mod messages;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;
pub mod token;

pub use {
    decide::is_drained,
    encode::{AnnouncementBody, LeaseBody, handler},
    messages::{Absence, Announcement, Home, Lease, Message, Notice},
    settings::Settings,
    thread::spawn,
    token::Token,
};
