//! Follows drains to their end: who gets no new work, what is still in flight, how long it took.
//!
//! The slots duty decides who gets work; this duty only tells operators of it.

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
