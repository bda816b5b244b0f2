//! The operators' front end: typed commands over JSON-RPC, as `schema/operator.json` defines them.

mod client;
mod encode;
#[cfg(test)]
mod tests;

pub use {
    client::{Operator, OperatorError},
    encode::{Status, handler},
};

/// The schema of the operator RPC, an `OpenRPC` document.
pub const SCHEMA: &str = include_str!("../../schema/operator.json");
