//! Complete system in one process on loopback, for trying it out.

pub mod fence;
mod run;
pub mod sample;

pub use run::{DevError, run};
