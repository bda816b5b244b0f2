//! The HTTP edge: bounded listeners, outgoing calls between processes, the shared secret.
//!
//! Each listener is one thread with a single-threaded runtime. Handlers turn a request into a
//! typed message, offer it to a ring and await the answer; no decision is made here.

pub mod client;
pub mod exchange;
pub mod limits;
pub mod listener;
pub mod outbound;
mod paced;
pub mod rpc;
pub mod secret;
#[cfg(test)]
mod tests;

pub use {
    exchange::{Incoming, Outgoing},
    limits::{LOOPBACK, Limits},
    listener::{Handler, Listener, ListenerHandle, spawn},
    secret::Secret,
};
