//! Dispatch of attempts to the upstreams of this VM over pooled connections; returns their complete
//! responses.

mod attempt;
pub(crate) mod encode;
mod limits;
pub mod messages;
pub(crate) mod pool;
pub mod settings;
pub(crate) mod splice;
mod stream;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    encode::{DEADLINE_HEADER, HOLDER_HEADER, RAN_HEADER, REQUEST_HEADER},
    messages::{Dispatch, Failure},
    settings::Settings,
    thread::spawn,
};
