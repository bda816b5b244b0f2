//! What an operator reads from one running process: `/metrics` as text, `/status` and
//! `/explain/REQUEST` as JSON.

mod explain;
mod handler;
mod poisoned;

pub use handler::{Board, Depths, handler};
