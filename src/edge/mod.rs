//! HTTP edge: listeners with resource limits, calls between processes, the shared secret.
//!
//! Each listener is one thread with a single-threaded runtime. Handlers decode a request to a typed
//! message, offer it to a ring and await the response; no decisions are made here.

mod ahead;
pub mod client;
pub mod exchange;
pub(crate) mod held;
pub mod limits;
pub mod listener;
pub mod outbound;
mod progress;
mod requests;
pub mod rpc;
pub mod secret;
#[cfg(test)]
mod tests;
mod untaken;

pub use {
    exchange::{Incoming, Outgoing},
    limits::{LOOPBACK, Limits},
    listener::{Handler, Listener, ListenerHandle, spawn},
    secret::Secret,
};
