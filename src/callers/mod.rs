//! The callers' front end: look-ups and requests over HTTP, turned into typed calls and back.

mod decode;
mod encode;
mod handler;
#[cfg(test)]
mod tests;

pub use {
    encode::{encode_outcome, request_name, status_of},
    handler::{Dependencies, handler},
};
