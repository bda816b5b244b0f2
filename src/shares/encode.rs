//! Compact encoding of calls and answers.

use {
    base64::{Engine, prelude::BASE64_STANDARD},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// A message in postcard encoding, as base64 text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Encoded {
    lease: String,
}

/// Encodes a message.
///
/// ```
/// use siskinstep::shares::{LeaseRequest, encode};
/// let request = LeaseRequest { sequence: 3, ..LeaseRequest::default() };
/// assert_eq!(encode::decode(&encode::encode(&request)), Some(request));
/// ```
#[must_use]
pub fn encode(message: &impl Serialize) -> Encoded {
    let bytes = postcard::to_stdvec(message).unwrap_or_default();
    Encoded {
        lease: BASE64_STANDARD.encode(bytes),
    }
}

/// Decodes a message; `None` if it is malformed.
#[must_use]
pub fn decode<T: DeserializeOwned>(encoded: &Encoded) -> Option<T> {
    let bytes = BASE64_STANDARD.decode(&encoded.lease).ok()?;
    postcard::from_bytes(&bytes).ok()
}
