//! Workspaces: who a caller is and what it may do.

pub mod decide;
pub mod decode;
pub mod digest;
pub mod messages;
pub mod state;
#[cfg(test)]
pub(crate) mod tests;

pub use {
    decide::identify,
    decode::decode,
    digest::Digest,
    messages::Credential,
    state::{Index, Row},
};
