//! An open-loop load and experiment tool: sends at stated times, whatever the answers do, and
//! measures from the intended time of each request.

mod choose;
mod client;
mod pace;
pub mod plan;
pub mod report;
mod run;
#[cfg(test)]
mod tests;

pub use {
    plan::{Kind, Plan, Steering},
    report::Report,
    run::{LoadError, run},
};
