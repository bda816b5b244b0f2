//! Recovers the content of a data folder.

use {
    super::{
        errors::{StorageError, corrupt, io_error},
        files::{numbered_files, read},
        frames::{self, Frame},
        messages::{Entry, HardState, Recovered, Snapshot},
    },
    std::{fs, path::Path, path::PathBuf},
};

/// Log segment file, as the writer tracks it.
#[derive(Clone, Debug)]
pub(super) struct SegmentFile {
    pub(super) number: u64,
    pub(super) path: PathBuf,
    /// Highest index of its entries.
    pub(super) max_index: u64,
    /// Length of its valid data, in bytes.
    pub(super) valid_len: usize,
    /// Lost sync marker to be restored: its offset and its bytes.
    pub(super) lost_marker: Option<(usize, Vec<u8>)>,
}

/// Content of a folder, for the replica and for the writer.
#[derive(Debug, Default)]
pub(super) struct FolderContents {
    pub(super) recovered: Recovered,
    pub(super) segments: Vec<SegmentFile>,
    /// Whether the segments conflict with the snapshot and are to be removed. This happens if the
    /// snapshot came from another replica and the process terminated before it removed them.
    pub(super) has_conflict: bool,
}

/// Reads the hard state, the newest snapshot and all log segments. Returns `None` for a new folder.
///
/// A folder without hard state must contain neither snapshots nor segments.
pub(super) fn recover(folder: &Path) -> Result<Option<FolderContents>, StorageError> {
    let snapshots = numbered_files(folder, "snapshot-")?;
    let logs = numbered_files(folder, "log-")?;
    let state = folder.join("state");
    let Some(hard) = read::<HardState>(&state)? else {
        if snapshots.is_empty() && logs.is_empty() {
            return Ok(None);
        }
        return Err(corrupt(
            &state,
            0,
            "hard state is missing, but a log or snapshot exists",
        ));
    };
    let snapshot = match snapshots.last() {
        Some((_, path)) => read::<Snapshot>(path)?,
        None => None,
    };
    let mut replay = Replay::new(snapshot.as_ref());
    let mut segments = Vec::new();
    for (at, (number, path)) in logs.iter().enumerate() {
        let bytes = fs::read(path).map_err(io_error(path))?;
        let segment = frames::decode(path, &bytes, at + 1 == logs.len())?;
        let mut max_index = 0;
        if segment.valid_len > 0 {
            replay.truncate_from(segment.first_index);
        }
        for frame in segment.frames {
            let last = frame.entries.iter().map(|entry| entry.at.index).max();
            max_index = max_index.max(last.unwrap_or(0));
            replay.append(path, segment.valid_len, frame)?;
        }
        segments.push(SegmentFile {
            number: *number,
            path: path.clone(),
            max_index,
            valid_len: segment.valid_len,
            lost_marker: segment.lost_marker,
        });
    }
    let (entries, commit, has_conflict) = replay.finish();
    let recovered = Recovered {
        hard,
        snapshot,
        entries,
        commit,
    };
    Ok(Some(FolderContents {
        recovered,
        segments,
        has_conflict,
    }))
}

/// Log as rebuilt from its frames.
struct Replay {
    base: Option<Entry>,
    entries: Vec<Entry>,
    commit: u64,
}

impl Replay {
    fn new(snapshot: Option<&Snapshot>) -> Self {
        let base = snapshot.map(|snapshot| Entry {
            at: snapshot.at,
            content: bytes::Bytes::new(),
        });
        Self {
            base,
            entries: Vec::new(),
            commit: 0,
        }
    }

    /// Discards all entries from `index` on.
    fn truncate_from(&mut self, index: u64) {
        let keep = self.entries.partition_point(|entry| entry.at.index < index);
        self.entries.truncate(keep);
    }

    fn append(&mut self, path: &Path, offset: usize, frame: Frame) -> Result<(), StorageError> {
        self.commit = self.commit.max(frame.commit);
        let base = self.base.as_ref().map_or(0, |entry| entry.at.index);
        for entry in frame.entries {
            self.truncate_from(entry.at.index);
            let last = self.entries.last().map(|entry| entry.at.index);
            let is_contiguous = last.is_some_and(|last| entry.at.index == last + 1);
            // Segments covered by the snapshot are removed, and a power loss may undo some of the removals. So the
            // log may start, or start again after a gap, at any index up to the one after the snapshot.
            if !is_contiguous && entry.at.index > base + 1 {
                return Err(corrupt(
                    path,
                    offset,
                    "gap in the log before an entry of this segment",
                ));
            }
            if !is_contiguous {
                self.entries.clear();
            }
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Returns the entries after the snapshot, the commit index, and whether the log conflicts with
    /// the snapshot and was discarded.
    fn finish(mut self) -> (Vec<Entry>, u64, bool) {
        let Some(base) = self.base else {
            return (self.entries, self.commit, false);
        };
        let first = self.entries.first().map_or(u64::MAX, |row| row.at.index);
        let is_consistent =
            first == base.at.index + 1 || self.entries.iter().any(|row| row.at == base.at);
        let has_conflict = !is_consistent && !self.entries.is_empty();
        if is_consistent {
            self.entries.retain(|row| row.at.index > base.at.index);
        } else {
            self.entries.clear();
        }
        (self.entries, self.commit.max(base.at.index), has_conflict)
    }
}
