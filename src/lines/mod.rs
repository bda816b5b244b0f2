//! Log lines: taken without a wait, bounded in number, written by a thread of their own.
//!
//! A reader that stops reading stops the writer alone. Its ring then fills, and what no longer fits is
//! counted; requests go on. Warnings and errors keep half of the ring for themselves, and every event has a
//! rate of its own, so that a flood of one leaves room for the others.

mod encode;
mod limit;
mod messages;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    encode::{json, text},
    messages::Line,
    thread::{finish, start},
};
