//! What an operator can see of a running process: numbered events and metrics.

pub mod events;
pub mod metrics;
#[cfg(test)]
mod tests;

pub use {
    events::{Event, report},
    metrics::Metrics,
};

/// Starts logging to standard error; `RUST_LOG` overrides the level `info`.
pub fn start_log() {
    let env = env_logger::Env::default().default_filter_or("info");
    // A second start, as in tests, keeps the first logger.
    let _ = env_logger::Builder::from_env(env).try_init();
}
