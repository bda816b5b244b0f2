//! Dispatch of attempts to upstreams over pooled connections, for VMs that send to any upstream of
//! the fleet; returns their complete responses.
//!
//! A [`WireFormat`] encodes the requests and decodes the heads of the responses.

mod attempt;
mod crashes;
pub mod messages;
pub mod settings;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Caller, Dispatch, Ended, Head, Load, Meaning, Report, Target, WireFormat},
    settings::Settings,
    thread::spawn,
};
