//! Operator front end: typed commands over JSON-RPC, as defined in `schema/operator.json`.

mod client;
mod encode;
#[cfg(test)]
mod tests;

pub use {
    client::{OperatorClient, OperatorError},
    encode::{Status, handler},
};

/// Schema of the operator RPC, an `OpenRPC` document.
pub const SCHEMA: &str = include_str!("../../schema/operator.json");
