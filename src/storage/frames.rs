//! Layout of a log segment: a header, then frames with checksums.

use {
    super::{
        errors::{StorageError, corrupt},
        messages::Entry,
    },
    serde::{Deserialize, Serialize},
    std::path::Path,
};

const MAGIC: [u8; 8] = *b"SISKLOG1";

/// Length of a segment header: magic number (8), first index (8), checksum (4).
pub(super) const SEGMENT_HEADER_BYTES: usize = 20;

/// Length of a frame header: body length (4), body checksum (4), header checksum (4).
const FRAME_HEADER_BYTES: usize = 12;

/// Body of a frame. A frame without entries is a sync marker: all frames before it are durable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Frame {
    /// Highest index known to be committed.
    pub(super) commit: u64,
    /// Entries that are written and synced together.
    pub(super) entries: Vec<Entry>,
}

/// Decoded segment.
#[derive(Debug, Default)]
pub(super) struct Segment {
    /// Index of its first entry. It supersedes entries of earlier segments from this index on.
    pub(super) first_index: u64,
    /// Complete frames in order.
    pub(super) frames: Vec<Frame>,
    /// Offset of the end of the last complete frame, in bytes.
    pub(super) valid_len: usize,
    /// Sync marker lost in a power failure: its offset and its bytes.
    pub(super) lost_marker: Option<(usize, Vec<u8>)>,
}

/// Encodes a segment header.
pub(super) fn segment_header(first_index: u64) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend_from_slice(&first_index.to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    header
}

/// Encodes a frame to be written at `offset`, which its header checksum covers.
pub(super) fn encode(frame: &Frame, offset: usize) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_stdvec(frame)?;
    let length = u32::try_from(body.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&header_checksum(&bytes, offset).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a segment. In the last segment, a torn last frame is ignored and a lost sync marker is
/// restored; in any other segment both are corruption.
pub(super) fn decode(path: &Path, bytes: &[u8], last: bool) -> Result<Segment, StorageError> {
    let Some(first_index) = read_header(bytes) else {
        // The header is synced before the first frame is written, so no frame is lost here.
        if last && bytes.len() <= SEGMENT_HEADER_BYTES {
            return Ok(Segment::default());
        }
        return Err(corrupt(path, 0, "invalid segment header"));
    };
    let mut segment = Segment {
        first_index,
        frames: Vec::new(),
        valid_len: SEGMENT_HEADER_BYTES,
        lost_marker: None,
    };
    while segment.valid_len < bytes.len() {
        let Some((frame, end)) = frame_at(bytes, segment.valid_len) else {
            if last && !has_frame_after(bytes, segment.valid_len) {
                break;
            }
            if last && let Some((marker, frame, end)) = lost_marker(bytes, &segment) {
                segment.lost_marker = Some((segment.valid_len, marker));
                segment.frames.push(frame);
                segment.valid_len = end;
                continue;
            }
            return Err(corrupt(path, segment.valid_len, "invalid frame"));
        };
        segment.frames.push(frame);
        segment.valid_len = end;
    }
    Ok(segment)
}

fn read_header(bytes: &[u8]) -> Option<u64> {
    let header = bytes.get(..SEGMENT_HEADER_BYTES)?;
    let first_index = u64::from_le_bytes(header[8..16].try_into().ok()?);
    (segment_header(first_index) == header).then_some(first_index)
}

/// Decodes the frame at `offset` and returns it with its end offset, or `None` if it is invalid.
fn frame_at(bytes: &[u8], offset: usize) -> Option<(Frame, usize)> {
    let header = bytes.get(offset..offset + FRAME_HEADER_BYTES)?;
    if read_u32(header, 8)? != header_checksum(&header[..8], offset) {
        return None;
    }
    let start = offset + FRAME_HEADER_BYTES;
    let end = start.checked_add(usize::try_from(read_u32(header, 0)?).ok()?)?;
    let body = bytes.get(start..end)?;
    if crc32fast::hash(body) != read_u32(header, 4)? {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, end))
}

/// Returns the missing sync marker after the last valid frame, with the frame that follows it and
/// the end offset of that frame.
///
/// Markers are not synced. Until the next frame is synced, a power failure may lose the marker but
/// not the frame. This is accepted only if that frame is the last one: a marker after it would
/// prove that both had been synced, so the missing marker would be corruption.
fn lost_marker(bytes: &[u8], segment: &Segment) -> Option<(Vec<u8>, Frame, usize)> {
    let last_frame = segment
        .frames
        .last()
        .filter(|row| !row.entries.is_empty())?;
    let marker = Frame {
        commit: last_frame.commit,
        entries: Vec::new(),
    };
    let marker = encode(&marker, segment.valid_len).ok()?;
    let start = segment.valid_len + marker.len();
    let (frame, end) = frame_at(bytes, start)?;
    (!has_frame_after(bytes, start)).then_some((marker, frame, end))
}

/// Whether a valid frame starts after `offset`. A frame is synced before the next one is written,
/// so such a frame proves that the data at `offset` was corrupted and not torn.
fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| frame_at(bytes, at).is_some())
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn header_checksum(header: &[u8], offset: usize) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.finalize()
}
