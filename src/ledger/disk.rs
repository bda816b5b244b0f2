//! The ledger's file on disk.

use {
    super::{
        encode::{self, Record},
        messages::{Row, Status},
        state::Book,
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
/// Length below which the file is not rewritten, in bytes.
const SMALL_BYTES: usize = 4 << 20;
/// Bytes of the file for each byte held at which it is rewritten.
const WASTE: usize = 3;

/// The open file.
#[derive(Debug)]
pub(super) struct Disk {
    folder: PathBuf,
    file: File,
    length: usize,
    pending: Vec<u8>,
    /// Syncs made.
    pub(super) syncs: u64,
    _lock: File,
}

/// What opening the file brought.
#[derive(Debug)]
pub(super) struct Opened {
    pub(super) disk: Disk,
    pub(super) book: Book,
    /// Whether a damaged file was put aside.
    pub(super) damaged: bool,
}

/// Opens the file under `folder`, cuts a torn tail, or starts a new one as `blank` says.
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
        let book = replay(recovered.records);
        return Ok(Opened {
            disk,
            book,
            damaged: false,
        });
    }
    let damaged = !bytes.is_empty();
    if damaged {
        fs::rename(&path, folder.join(DAMAGED_FILE))?;
    }
    let book = Book::new(blank);
    let (file, length) = rewrite(folder, &book)?;
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
        book,
        damaged,
    })
}

/// Keeps a second process from the file; the system lifts it at the end of this one.
fn lock(folder: &Path) -> io::Result<File> {
    let lock = File::create(folder.join(LOCK_FILE))?;
    lock.try_lock().map_err(io::Error::from)?;
    Ok(lock)
}

fn replay(records: Vec<Record>) -> Book {
    let mut book = Book::new(Status::default());
    for record in records {
        match record {
            Record::Status(status) => book.status = status,
            Record::Put(row) => book.put(row),
        }
    }
    book
}

/// Writes a whole file beside the old one and puts it in its place.
fn rewrite(folder: &Path, book: &Book) -> io::Result<(File, usize)> {
    let mut bytes = Vec::new();
    encode::encode(&Record::Status(book.status.clone()), &mut bytes);
    for row in book.rows() {
        encode::encode(&Record::Put(row.clone()), &mut bytes);
    }
    let new = folder.join(NEW_FILE);
    let mut file = File::create(&new)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(FILE))?;
    // The name lasts only once the folder is synced.
    File::open(folder)?.sync_all()?;
    let file = OpenOptions::new().append(true).open(folder.join(FILE))?;
    Ok((file, bytes.len()))
}

impl Disk {
    /// Adds a row to what the next sync writes.
    pub(super) fn put(&mut self, row: Row) {
        encode::encode(&Record::Put(row), &mut self.pending);
    }

    /// Adds the status to what the next sync writes.
    pub(super) fn status(&mut self, status: Status) {
        encode::encode(&Record::Status(status), &mut self.pending);
    }

    /// Writes and syncs what was added, if anything was.
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

    /// Rewrites the file if most of it is out of date.
    pub(super) fn compact(&mut self, book: &Book) -> io::Result<()> {
        if self.length < SMALL_BYTES.max(book.bytes * WASTE) {
            return Ok(());
        }
        (self.file, self.length) = rewrite(&self.folder, book)?;
        Ok(())
    }
}
