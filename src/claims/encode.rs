//! A request's fingerprint, and its answer as a ledger stores it.

use {
    crate::{
        call::{Answer, Call},
        ledger::Fingerprint,
    },
    bytes::Bytes,
    xxhash_rust::xxh3::Xxh3,
};

/// Hash of what must be the same when a key comes again: service, kind, method, target, body.
#[must_use]
pub fn fingerprint(call: &Call) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(&call.meta.service.0.to_le_bytes());
    hash.update(&call.meta.kind.0.to_le_bytes());
    for part in [
        &call.payload.method,
        &call.payload.target,
        &call.payload.body,
    ] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    let digest = hash.digest128().to_le_bytes();
    let (low, high) = digest.split_at(8);
    Fingerprint(number(low), number(high))
}

fn number(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// The answer as bytes, or `None` if it is longer than `most` bytes.
#[must_use]
pub fn store(answer: &Answer, most: usize) -> Option<Bytes> {
    if answer.body.len() > most {
        return None;
    }
    let bytes = postcard::to_stdvec(answer).ok()?;
    (bytes.len() <= most).then(|| bytes.into())
}

/// The answer that [`store`] made `bytes` of.
#[must_use]
pub fn restore(bytes: &[u8]) -> Option<Answer> {
    postcard::from_bytes(bytes).ok()
}
