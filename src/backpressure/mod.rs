//! Whether to send requests to an upstream, by what its own responses say: that it leaves, or that it asks for a
//! rest period.
//!
//! The decisions are part of the steer duty, which owns a [`State`]. The courier duty owns a [`Fence`], which stops
//! attempts that are already on their way to an upstream.

mod decide;
mod fence;
mod messages;
mod rest;
mod state;
#[cfg(test)]
mod tests;

pub use {
    decide::{forget, has_left, record_leaving},
    fence::Fence,
    messages::{Change, Notice},
    rest::{
        free_at, may_send, record_end, record_rest, record_sent, record_unlisted_rest, set_listed,
        set_unlisted,
    },
    state::State,
};
