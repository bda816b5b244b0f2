//! Fingerprint of a request, and the encoding in which ledgers store responses.

use {
    crate::{
        call::{Answer, Call},
        ledger::Fingerprint,
    },
    bytes::Bytes,
    xxhash_rust::xxh3::Xxh3,
};

/// Hash of what a resend under the same key must repeat: service, kind, method, target and body.
#[must_use]
pub fn fingerprint(call: &Call) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(&call.meta.service.0.to_le_bytes());
    hash.update(&call.meta.kind.0.to_le_bytes());
    for field in [
        &call.payload.method,
        &call.payload.target,
        &call.payload.body,
    ] {
        hash.update(&field.len().to_le_bytes());
        hash.update(field);
    }
    let digest = hash.digest128().to_le_bytes();
    let (low, high) = digest.split_at(8);
    Fingerprint(read_u64(low), read_u64(high))
}

fn read_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Encodes a response; `None` if it exceeds `max_bytes`.
#[must_use]
pub fn encode_answer(answer: &Answer, max_bytes: usize) -> Option<Bytes> {
    if answer.body.len() > max_bytes {
        return None;
    }
    let bytes = postcard::to_stdvec(answer).ok()?;
    (bytes.len() <= max_bytes).then(|| bytes.into())
}

/// Decodes the output of [`encode_answer`]; `None` if it is malformed.
#[must_use]
pub fn decode_answer(bytes: &[u8]) -> Option<Answer> {
    postcard::from_bytes(bytes).ok()
}
