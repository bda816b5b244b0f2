//! Even load from old reports: estimates the load of upstreams and selects among several.
//!
//! Many entry VMs select from the same old reports. If all of them took the upstream with the least estimated
//! load, they would overload one upstream after the other.

pub mod decide;
mod ranking;
pub mod state;
#[cfg(test)]
mod tests;

pub use {
    ranking::{Ranking, Rankings},
    state::{Average, Estimate, Expected, Load},
};
