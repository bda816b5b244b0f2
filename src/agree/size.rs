//! How large a change of the catalogue may be, and when it is compressed.

use crate::{pack, policy::Rejection};

/// Largest change of the catalogue in one entry of the log, in bytes. The hexadecimal encoding of a message takes
/// twice the bytes of its payload, and a peer listener accepts at most 1 MiB. Larger changes are compressed.
const MAX_ENTRY_BYTES: usize = 448 << 10;
/// Largest change of the catalogue as JSON, in bytes: each replica holds it as a whole while it is applied.
const MAX_JSON_BYTES: usize = 12 << 20;

/// Compresses a change of the catalogue, given as JSON, if it is too large for an entry of the log.
///
/// # Errors
/// The change is too large also when compressed.
pub(crate) fn pack_large(json: &[u8]) -> Result<Option<Vec<u8>>, Rejection> {
    if json.len() <= MAX_ENTRY_BYTES {
        return Ok(None);
    }
    if json.len() > MAX_JSON_BYTES {
        return Err(too_large(json.len(), MAX_JSON_BYTES));
    }
    match pack::pack(json) {
        Ok(packed) if packed.len() <= MAX_ENTRY_BYTES => Ok(Some(packed)),
        Ok(packed) => Err(too_large(packed.len(), MAX_ENTRY_BYTES)),
        Err(_) => Err(too_large(json.len(), MAX_ENTRY_BYTES)),
    }
}

/// Decompresses the output of [`pack_large`]; `None` if it is malformed.
pub(crate) fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    pack::unpack(packed, MAX_JSON_BYTES).ok()
}

/// The rejection of a command of `bytes` bytes, of which at most `max` are accepted.
pub(super) fn too_large(bytes: usize, max: usize) -> Rejection {
    let number = |size| u64::try_from(size).unwrap_or(u64::MAX);
    Rejection::TooLarge {
        bytes: number(bytes),
        max: number(max),
    }
}
