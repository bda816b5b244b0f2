//! Whether to send requests to an upstream, by what its own responses say: that it leaves.
//!
//! The decisions are part of the steer duty, which owns a [`State`]. The courier duty owns a [`Fence`], which stops
//! attempts that are already on their way to an upstream.

mod decide;
mod fence;
mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use {
    decide::{forget, has_left, record_leaving},
    fence::Fence,
    messages::Notice,
    state::State,
};
