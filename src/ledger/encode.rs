//! The ledger's file: checksummed frames, appended. Recovery cuts a torn tail.

use {
    super::messages::{Row, Status},
    serde::{Deserialize, Serialize},
};

/// Bytes before a frame's payload: length and checksum, both little-endian.
const HEAD_BYTES: usize = 8;
/// Longest payload of a frame in bytes.
const LONGEST_BYTES: usize = 16 << 20;

/// One frame of the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Who the ledger is, and whether it votes.
    Status(Status),
    /// What is known of a key from here on.
    Put(Row),
}

/// What a file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Whole frames.
    pub records: Vec<Record>,
    /// Length of the whole frames in bytes; the rest is to be cut.
    pub length: usize,
    /// Whether whole frames follow a broken one: synced votes may be lost.
    pub damaged: bool,
}

/// Appends a frame to `out`.
pub fn encode(record: &Record, out: &mut Vec<u8>) {
    // Serialization into memory fails only for types without a length, which a record has none of.
    let payload = postcard::to_stdvec(record).unwrap_or_default();
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    out.extend(length.to_le_bytes());
    out.extend(crc32fast::hash(&payload).to_le_bytes());
    out.extend(payload);
}

/// Reads whole frames up to the first broken one.
///
/// ```
/// use siskinstep::ledger::encode::{Record, encode, recover};
/// let mut file = vec![];
/// encode(&Record::Status(Default::default()), &mut file);
/// let whole = file.len();
/// file.extend([9, 0, 0]);
/// assert_eq!(recover(&file).length, whole);
/// ```
#[must_use]
pub fn recover(file: &[u8]) -> Recovered {
    let mut recovered = Recovered::default();
    while let Some((record, length)) = frame(&file[recovered.length..]) {
        recovered.records.push(record);
        recovered.length += length;
    }
    let rest = &file[recovered.length..];
    recovered.damaged = (1..rest.len()).any(|at| frame(&rest[at..]).is_some());
    recovered
}

fn frame(bytes: &[u8]) -> Option<(Record, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    if length == 0 || length > LONGEST_BYTES {
        return None;
    }
    let payload = rest.get(..length)?;
    if crc32fast::hash(payload) != u32::from_le_bytes(*sum) {
        return None;
    }
    let record = postcard::from_bytes(payload).ok()?;
    Some((record, HEAD_BYTES + length))
}
