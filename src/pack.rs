//! Compression of large messages and log entries.

use {
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{self, Read, Write},
};

/// Compresses `bytes`.
///
/// # Errors
/// None occur in practice: the output goes to memory.
pub(crate) fn pack(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses the output of [`pack`], which may be at most `max_bytes` long.
///
/// # Errors
/// The input is malformed or cut, or its content is longer.
pub(crate) fn unpack(packed: &[u8], max_bytes: usize) -> io::Result<Vec<u8>> {
    let limit = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut bytes = Vec::new();
    // One byte more shows that the content is too long.
    let mut decoder = DeflateDecoder::new(packed).take(limit.saturating_add(1));
    decoder.read_to_end(&mut bytes)?;
    if bytes.len() > max_bytes {
        let text = format!("expected at most {max_bytes} bytes of unpacked content");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    Ok(bytes)
}
