//! Log file of the ledger.

use {
    super::{
        encode::{self, Record},
        messages::{Row, Status},
        state::VoteTable,
    },
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

const FILE: &str = "ledger.log";
const NEW_FILE: &str = "ledger.new";
const LOCK_FILE: &str = "lock";
const DAMAGED_FILE: &str = "ledger.damaged";
/// Length in bytes below which the file is not compacted.
const MIN_COMPACT_BYTES: usize = 4 << 20;
/// Ratio of file length to live bytes at which the file is compacted.
const COMPACT_RATIO: usize = 3;

/// Open log file.
#[derive(Debug)]
pub(super) struct Disk {
    folder: PathBuf,
    file: File,
    length: usize,
    pending: Vec<u8>,
    /// Number of syncs.
    pub(super) syncs: u64,
    _lock: File,
}

/// Result of opening the log file.
#[derive(Debug)]
pub(super) struct Opened {
    pub(super) disk: Disk,
    pub(super) table: VoteTable,
    /// Whether a damaged file was found and renamed.
    pub(super) damaged: bool,
}

/// Opens the file under `folder` and truncates a torn tail. Creates a file with the status `blank`
/// if there is none, or none that is usable.
pub(super) fn open(folder: &Path, blank: Status) -> io::Result<Opened> {
    fs::create_dir_all(folder)?;
    let lock = lock(folder)?;
    let path = folder.join(FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(error) => return Err(error),
    };
    let recovered = encode::recover(&bytes);
    let identified = matches!(recovered.records.first(), Some(Record::Status(_)));
    if identified && !recovered.damaged {
        let file = OpenOptions::new().append(true).open(&path)?;
        file.set_len(recovered.length as u64)?;
        file.sync_all()?;
        let disk = Disk {
            folder: folder.to_owned(),
            file,
            length: recovered.length,
            pending: Vec::new(),
            syncs: 0,
            _lock: lock,
        };
        let table = replay(recovered.records);
        return Ok(Opened {
            disk,
            table,
            damaged: false,
        });
    }
    let damaged = !bytes.is_empty();
    if damaged {
        fs::rename(&path, folder.join(DAMAGED_FILE))?;
    }
    let table = VoteTable::new(blank);
    let (file, length) = rewrite(folder, &table)?;
    let disk = Disk {
        folder: folder.to_owned(),
        file,
        length,
        pending: Vec::new(),
        syncs: 0,
        _lock: lock,
    };
    Ok(Opened {
        disk,
        table,
        damaged,
    })
}

/// Locks the file against a second process; the operating system releases the lock at exit.
fn lock(folder: &Path) -> io::Result<File> {
    let lock = File::create(folder.join(LOCK_FILE))?;
    lock.try_lock().map_err(io::Error::from)?;
    Ok(lock)
}

fn replay(records: Vec<Record>) -> VoteTable {
    let mut table = VoteTable::new(Status::default());
    for record in records {
        match record {
            Record::Status(status) => table.status = status,
            Record::Put(row) => table.put(row),
        }
    }
    table
}

/// Writes the table to a new file that atomically replaces the old one.
fn rewrite(folder: &Path, table: &VoteTable) -> io::Result<(File, usize)> {
    let mut bytes = Vec::new();
    encode::encode(&Record::Status(table.status.clone()), &mut bytes);
    for row in table.rows() {
        encode::encode(&Record::Put(row.clone()), &mut bytes);
    }
    let new = folder.join(NEW_FILE);
    let mut file = File::create(&new)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(FILE))?;
    // The rename is durable only once the folder is synced.
    File::open(folder)?.sync_all()?;
    let file = OpenOptions::new().append(true).open(folder.join(FILE))?;
    Ok((file, bytes.len()))
}

impl Disk {
    /// Buffers a row for the next sync.
    pub(super) fn put(&mut self, row: Row) {
        encode::encode(&Record::Put(row), &mut self.pending);
    }

    /// Buffers the status for the next sync.
    pub(super) fn put_status(&mut self, status: Status) {
        encode::encode(&Record::Status(status), &mut self.pending);
    }

    /// Writes and syncs the buffered records, if any.
    pub(super) fn sync(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        self.file.write_all(&self.pending)?;
        self.file.sync_data()?;
        self.length += self.pending.len();
        self.pending.clear();
        self.syncs += 1;
        Ok(())
    }

    /// Rewrites the file if most of it is obsolete.
    pub(super) fn compact(&mut self, table: &VoteTable) -> io::Result<()> {
        if self.length < MIN_COMPACT_BYTES.max(table.bytes * COMPACT_RATIO) {
            return Ok(());
        }
        (self.file, self.length) = rewrite(&self.folder, table)?;
        Ok(())
    }
}
