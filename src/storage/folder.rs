//! Opens and writes a data folder.

use {
    super::{
        errors::{LockedSnafu, StorageError, io_error},
        files::{numbered_files, replace, sync_folder},
        frames::{self, Frame},
        messages::{Batch, HardState, Recovered, Snapshot},
        recover::{FolderContents, SegmentFile, recover},
    },
    crate::keys::DiskId,
    std::{
        fs::{self, File, OpenOptions, TryLockError},
        io::{self, Seek, SeekFrom, Write},
        path::{Path, PathBuf},
    },
};

/// Size from which on a segment is closed and a new one started.
const SEGMENT_BYTES: usize = 1 << 20;

/// Data folder, locked by this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: File,
    segments: Vec<SegmentFile>,
    active: Option<File>,
    last: u64,
}

impl Folder {
    /// Locks and recovers the folder at `path`, creates it if necessary, and increments its boot
    /// count. `new_disk` becomes the identity of a disk that has none.
    ///
    /// # Errors
    /// Another process has locked the folder, it cannot be read or written, or its data is
    /// corrupted.
    ///
    /// ```
    /// use siskinstep::{keys::DiskId, storage::Folder};
    /// let dir = std::env::temp_dir().join(format!("siskinstep-doc-{}", std::process::id()));
    /// let (folder, recovered) = Folder::open(&dir, DiskId(7))?;
    /// assert_eq!((recovered.hard.disk, recovered.hard.boot), (DiskId(7), 1));
    /// assert!(Folder::open(&dir, DiskId(7)).is_err(), "already locked");
    /// # drop(folder);
    /// # std::fs::remove_dir_all(&dir).ok();
    /// # Ok::<(), siskinstep::storage::StorageError>(())
    /// ```
    pub fn open(path: &Path, new_disk: DiskId) -> Result<(Self, Recovered), StorageError> {
        fs::create_dir_all(path).map_err(io_error(path))?;
        let lock = lock(path)?;
        let contents = recover(path)?;
        let FolderContents {
            mut recovered,
            segments,
            has_conflict,
        } = contents.unwrap_or_default();
        if recovered.hard.disk == DiskId(0) {
            recovered.hard.disk = new_disk;
        }
        recovered.hard.boot += 1;
        replace(path, "state", &recovered.hard).map_err(io_error(path))?;
        let last = recovered.entries.last().map(|entry| entry.at.index);
        let base = recovered
            .snapshot
            .as_ref()
            .map(|snapshot| snapshot.at.index);
        let mut folder = Self {
            path: path.to_owned(),
            _lock: lock,
            segments,
            active: None,
            last: last.or(base).unwrap_or(0),
        };
        folder.repair_tail().map_err(io_error(path))?;
        if has_conflict {
            // Voids the entries of segments whose removal a power loss undoes.
            folder.start_segment().map_err(io_error(path))?;
            folder.remove_segments(1).map_err(io_error(path))?;
        }
        Ok((folder, recovered))
    }

    /// Makes `batch` durable. After an error the same batch can be retried.
    ///
    /// # Errors
    /// A file operation failed, for example because the disk is full.
    pub fn write(&mut self, batch: &Batch) -> io::Result<()> {
        if let Some(hard) = &batch.hard {
            replace(&self.path, "state", hard)?;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.write_snapshot(snapshot, batch.reset)?;
        }
        if !batch.entries.is_empty() {
            self.append(batch)?;
        }
        Ok(())
    }

    /// Moves all files into a backup folder and starts as an empty disk with the identity
    /// `new_disk`.
    ///
    /// # Errors
    /// A file operation failed.
    pub fn reinitialize(&mut self, new_disk: DiskId) -> io::Result<Recovered> {
        let backup = self.path.join(format!("set-aside-{:016x}", new_disk.0));
        fs::create_dir_all(&backup)?;
        for row in fs::read_dir(&self.path)? {
            let row = row?;
            let is_kept = row.file_name() == "lock" || row.file_type()?.is_dir();
            if !is_kept {
                fs::rename(row.path(), backup.join(row.file_name()))?;
            }
        }
        self.segments.clear();
        self.active = None;
        self.last = 0;
        let hard = HardState {
            disk: new_disk,
            boot: 1,
            ..HardState::default()
        };
        replace(&self.path, "state", &hard)?;
        Ok(Recovered {
            hard,
            ..Recovered::default()
        })
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> io::Result<()> {
        let index = snapshot.at.index;
        replace(&self.path, &format!("snapshot-{index:020}"), snapshot)?;
        if reset {
            self.last = index;
        }
        self.start_segment()?;
        if reset {
            self.remove_segments(1)?;
        }
        self.remove_superseded(index)
    }

    /// Removes older snapshots, and closed segments whose entries the snapshot at `index` covers.
    fn remove_superseded(&mut self, index: u64) -> io::Result<()> {
        let snapshots = numbered_files(&self.path, "snapshot-").map_err(io::Error::other)?;
        for (number, path) in snapshots {
            if number < index {
                fs::remove_file(path)?;
            }
        }
        let closed = self.segments.len().saturating_sub(1);
        let is_superseded = |segment: &&SegmentFile| segment.max_index <= index;
        let count = self.segments[..closed]
            .iter()
            .take_while(is_superseded)
            .count();
        for _ in 0..count {
            self.remove_segment(0)?;
        }
        sync_folder(&self.path)
    }

    /// Removes all segments except the newest `keep`.
    fn remove_segments(&mut self, keep: usize) -> io::Result<()> {
        let count = self.segments.len().saturating_sub(keep);
        for at in (0..count).rev() {
            self.remove_segment(at)?;
        }
        sync_folder(&self.path)
    }

    /// Removes one segment, which stays listed after an error, so that a retry removes it.
    fn remove_segment(&mut self, at: usize) -> io::Result<()> {
        fs::remove_file(&self.segments[at].path)?;
        self.segments.remove(at);
        Ok(())
    }

    fn append(&mut self, batch: &Batch) -> io::Result<()> {
        let is_full = self
            .segments
            .last()
            .is_none_or(|row| row.valid_len >= SEGMENT_BYTES);
        if self.active.is_none() || is_full {
            self.start_segment()?;
        }
        let frame = Frame {
            commit: batch.commit,
            entries: batch.entries.clone(),
        };
        self.append_frame(&frame, true)?;
        if let Some(entry) = batch.entries.last() {
            self.last = entry.at.index;
        }
        let marker = Frame {
            commit: batch.commit,
            entries: Vec::new(),
        };
        // Not synced: the marker only proves that the frame before it is durable.
        self.append_frame(&marker, false)
    }

    fn append_frame(&mut self, frame: &Frame, sync: bool) -> io::Result<()> {
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.last_mut()) else {
            return Err(io::Error::other("no open segment"));
        };
        let bytes = frames::encode(frame, segment.valid_len).map_err(io::Error::other)?;
        // Removes remains of a failed attempt.
        file.set_len(segment.valid_len as u64)?;
        file.seek(SeekFrom::Start(segment.valid_len as u64))?;
        file.write_all(&bytes)?;
        if sync {
            file.sync_data()?;
        }
        segment.valid_len += bytes.len();
        let last = frame.entries.iter().map(|entry| entry.at.index).max();
        segment.max_index = segment.max_index.max(last.unwrap_or(0));
        Ok(())
    }

    fn start_segment(&mut self) -> io::Result<()> {
        if let Some(file) = &self.active {
            // Syncs the last marker, as no frame will be appended and synced after it.
            file.sync_data()?;
        }
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        let path = self.path.join(format!("log-{number:020}"));
        let header = frames::segment_header(self.last + 1);
        let mut file = File::create(&path)?;
        file.write_all(&header)?;
        file.sync_all()?;
        sync_folder(&self.path)?;
        self.segments.push(SegmentFile {
            number,
            path,
            max_index: 0,
            valid_len: header.len(),
            lost_marker: None,
        });
        self.active = Some(file);
        Ok(())
    }

    /// Opens the last segment for appending after its last complete frame: restores a lost sync
    /// marker and truncates a torn frame. Removes the segment if it has no complete header.
    fn repair_tail(&mut self) -> io::Result<()> {
        let Some(segment) = self.segments.last_mut() else {
            return Ok(());
        };
        if segment.valid_len == 0 {
            fs::remove_file(&segment.path)?;
            self.segments.pop();
            return sync_folder(&self.path);
        }
        let mut file = OpenOptions::new().write(true).open(&segment.path)?;
        if let Some((at, marker)) = segment.lost_marker.take() {
            file.seek(SeekFrom::Start(at as u64))?;
            file.write_all(&marker)?;
        }
        file.set_len(segment.valid_len as u64)?;
        file.sync_all()?;
        self.active = Some(file);
        Ok(())
    }
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let file = File::create(&path).map_err(io_error(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::Error(error)) => Err(io_error(&path)(error)),
        Err(TryLockError::WouldBlock) => {
            let file = path.display().to_string();
            LockedSnafu { file }.fail()
        }
    }
}
