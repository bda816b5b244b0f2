//! Front end for callers: decodes look-ups and requests from HTTP to typed calls and encodes the
//! responses.

mod decode;
mod encode;
mod handler;
#[cfg(test)]
mod tests;

pub use {
    encode::{encode_outcome, request_name, status_of},
    handler::{Dependencies, handler},
};
