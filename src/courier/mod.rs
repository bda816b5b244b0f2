//! Sends requests to upstreams over pooled connections and returns their complete responses.
//!
//! A [`Dialect`] encodes the requests and decodes the heads of the responses.

mod attempt;
pub mod messages;
pub mod settings;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Dialect, Dispatch, Ended, Head, Load, Meaning, Report, Target},
    settings::Settings,
    thread::spawn,
};
