//! Order of the requests that wait for a service: start-time fair queueing over flows, within each rank.
//!
//! The decisions are part of the steer duty, which owns a [`Queue`] for each service.

mod decide;
mod state;
#[cfg(test)]
mod tests;

pub use {
    decide::{Outcome, count_ahead, last_behind, push, record_sent, scan, withdraw},
    state::{Flow, Queue},
};
