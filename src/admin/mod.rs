//! What an operator reads from one running process: `/metrics` as text, `/status` as JSON.

mod handler;

pub use handler::{Board, handler};
