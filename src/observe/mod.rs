//! Observability of a running process: numbered log events and metrics.

pub mod events;
pub mod metrics;
#[cfg(test)]
mod tests;

use crate::lines;

pub use {
    events::{Event, report, report_with},
    metrics::Metrics,
};

/// Starts logging to standard error; `RUST_LOG` overrides the default level `info`.
pub fn start_log() {
    lines::start(lines::text, std::io::stderr());
}
