//! Format of the ledger's log file: appended frames with checksums. Recovery drops a torn tail.

use {
    super::messages::{Row, Status},
    serde::{Deserialize, Serialize},
};

/// Size of a frame header in bytes: payload length and CRC-32, both little-endian `u32`.
const HEADER_BYTES: usize = 8;
/// Maximum size of a frame's payload in bytes.
const MAX_PAYLOAD_BYTES: usize = 16 << 20;

/// Content of one frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Identity of the ledger and whether it votes.
    Status(Status),
    /// New row of a key, which replaces any earlier one.
    Put(Row),
}

/// Content of a log file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Records of the complete frames.
    pub records: Vec<Record>,
    /// Length of the complete frames in bytes; the rest is to be truncated.
    pub length: usize,
    /// Whether valid frames follow an invalid one, so that synced votes may be lost.
    pub damaged: bool,
}

/// Appends a frame to `out`.
pub fn encode(record: &Record, out: &mut Vec<u8>) {
    // Serialization into memory fails only for sequences of unknown length; a record has none.
    let payload = postcard::to_stdvec(record).unwrap_or_default();
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    out.extend(length.to_le_bytes());
    out.extend(crc32fast::hash(&payload).to_le_bytes());
    out.extend(payload);
}

/// Reads complete frames up to the first incomplete or invalid one.
///
/// ```
/// use siskinstep::ledger::encode::{Record, encode, recover};
/// let mut file = vec![];
/// encode(&Record::Status(Default::default()), &mut file);
/// let complete = file.len();
/// file.extend([9, 0, 0]);
/// assert_eq!(recover(&file).length, complete);
/// ```
#[must_use]
pub fn recover(file: &[u8]) -> Recovered {
    let mut recovered = Recovered::default();
    while let Some((record, length)) = parse_frame(&file[recovered.length..]) {
        recovered.records.push(record);
        recovered.length += length;
    }
    let rest = &file[recovered.length..];
    recovered.damaged = (1..rest.len()).any(|at| parse_frame(&rest[at..]).is_some());
    recovered
}

fn parse_frame(bytes: &[u8]) -> Option<(Record, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    if length == 0 || length > MAX_PAYLOAD_BYTES {
        return None;
    }
    let payload = rest.get(..length)?;
    if crc32fast::hash(payload) != u32::from_le_bytes(*sum) {
        return None;
    }
    let record = postcard::from_bytes(payload).ok()?;
    Some((record, HEADER_BYTES + length))
}
