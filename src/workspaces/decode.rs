//! Decodes the credential of an HTTP request.

use super::{digest::Digest, messages::Credential};

/// Authentication scheme of API keys, in any case.
const SCHEME: &[u8] = b"bearer";

/// Decodes the values of the `Authorization` headers of a request: at most one, with the scheme `Bearer` in any case,
/// one or more spaces, and the API key.
///
/// ```
/// use siskinstep::workspaces::{Credential, Digest, decode};
/// assert_eq!(decode([&b"bearer  k"[..]]), Credential::Key(Digest::of(b"k")));
/// assert_eq!(decode([&b"Basic k"[..]]), Credential::Malformed);
/// assert_eq!(decode([]), Credential::None);
/// ```
pub fn decode<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Credential {
    let mut values = values.into_iter();
    let Some(value) = values.next() else {
        return Credential::None;
    };
    match (read_key(value), values.next()) {
        (Some(key), None) => Credential::Key(Digest::of(key)),
        _ => Credential::Malformed,
    }
}

/// The API key in the value of a header.
fn read_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, rest) = value.split_at_checked(SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) || rest.first() != Some(&b' ') {
        return None;
    }
    let first = rest.iter().position(|byte| *byte != b' ')?;
    Some(&rest[first..])
}
