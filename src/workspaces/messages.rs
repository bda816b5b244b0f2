//! What a front end reads from a request about its caller.

use super::digest::Digest;

/// Credential of a request, as the front end decoded it. It never holds the API key itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request carries no credential.
    #[default]
    None,
    /// The request carries a credential that no configuration can accept.
    Malformed,
    /// Digest of the API key that the request carries.
    Key(Digest),
}
