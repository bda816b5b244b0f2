//! Open-loop load generator: sends requests at scheduled times, independent of the responses, and
//! measures latency from the scheduled time of each request.

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
