//! Agreement on the order of operators' commands.

pub mod messages;
mod thread;

pub use {
    messages::{Message, Submitted, Unavailable},
    thread::spawn,
};
