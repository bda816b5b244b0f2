//! Tracks drains until they complete: the drained object, its requests in flight, and the time
//! taken.
//!
//! The slots duty decides which upstreams get requests; this duty only reports drains to operators.

pub mod decide;
pub mod messages;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Cause, DrainingUpstream, Message, Progress},
    thread::spawn,
};
