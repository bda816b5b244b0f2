//! Shares: limits of workspaces for the whole fleet, divided among the entry VMs by leased tokens.
//!
//! The leader of the control VMs has a bucket of tokens for each workspace with a limit and grants them to entry VMs;
//! a token permits one request. See `docs/design/shares.md`.

pub mod encode;
pub mod grant;
pub mod hold;
pub mod messages;
pub mod serve;
pub mod settings;
#[cfg(test)]
mod tests;
pub mod thread;

pub use {
    grant::{Grants, Limit},
    hold::{Hold, Taken, Token},
    messages::{LeaseRequest, LeaseResponse},
    settings::Settings,
};
