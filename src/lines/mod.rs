//! Writer of log lines: they are accepted without blocking, rate-limited, and written by a dedicated
//! thread.
//!
//! If the reader of the output stalls, only the writer thread blocks. Its ring then fills up, and lines that
//! do not fit are dropped and counted; requests continue. Half of the ring is reserved for warnings and
//! errors, and every event has its own rate limit, so that a flood of one event does not suppress others.

mod encode;
mod limit;
mod messages;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    encode::{json, text},
    messages::Line,
    thread::{flush, start},
};
