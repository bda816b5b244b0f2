//! The whole path in one process on loopback, to try the system out.

pub mod fence;
mod run;
pub mod sample;

pub use run::{DevError, run};
