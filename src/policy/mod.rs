//! Configuration that operators change by commands: shifts, drains and caps, as a replicated state
//! machine.
//!
//! Every VM applies the same accepted commands in the same order and therefore has the same state.

mod decide;
pub mod messages;
pub mod state;
#[cfg(test)]
mod tests;

pub use {
    decide::apply,
    messages::{Accepted, Amount, Cap, Change, Command, Drain, Place, Rejection, Shift},
    state::Policy,
};
