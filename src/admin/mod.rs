//! Admin listener of a process, for operators: `/metrics` as text; `/status`, `/explain/REQUEST`
//! and `/poison` as JSON; `/poison/lift` to end the refusal of requests.

mod explain;
mod handler;
mod poisoned;

pub use handler::{Dependencies, RingDepths, handler};
