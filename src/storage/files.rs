//! Files that are replaced atomically: hard state and snapshots.
//!
//! A file consists of a magic number, the CRC-32 of the body and the body.

use {
    super::errors::{StorageError, corrupt, io_error},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

const MAGIC: [u8; 8] = *b"SISKFIL1";
const HEADER_BYTES: usize = MAGIC.len() + 4;

/// Atomically and durably replaces the file `name` of `folder`: writes and syncs a temporary file,
/// renames it and syncs the folder.
pub(super) fn replace(folder: &Path, name: &str, content: &impl Serialize) -> io::Result<()> {
    let body = postcard::to_stdvec(content).map_err(io::Error::other)?;
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary)?;
    file.write_all(&MAGIC)?;
    file.write_all(&crc32fast::hash(&body).to_le_bytes())?;
    file.write_all(&body)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    sync_folder(folder)
}

/// Reads a file written by [`replace`], or returns `None` if it does not exist.
pub(super) fn read<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error(path)(error)),
    };
    if bytes.len() < HEADER_BYTES || bytes[..MAGIC.len()] != MAGIC {
        return Err(corrupt(
            path,
            0,
            "file header is truncated or has a wrong magic number",
        ));
    }
    let (header, body) = bytes.split_at(HEADER_BYTES);
    if crc32fast::hash(body).to_le_bytes() != header[MAGIC.len()..] {
        return Err(corrupt(path, HEADER_BYTES, "checksum mismatch"));
    }
    let content = postcard::from_bytes(body);
    content
        .map(Some)
        .map_err(|_| corrupt(path, HEADER_BYTES, "body cannot be decoded"))
}

/// Makes file creations, renames and removals in the folder durable.
pub(super) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Lists the files of `folder` whose name is `prefix` and a number, in ascending order.
pub(super) fn numbered_files(
    folder: &Path,
    prefix: &str,
) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let mut found = Vec::new();
    for row in fs::read_dir(folder).map_err(io_error(folder))? {
        let path = row.map_err(io_error(folder))?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name.and_then(|name| name.strip_prefix(prefix)?.parse().ok());
        if let Some(number) = number {
            found.push((number, path));
        }
    }
    found.sort();
    Ok(found)
}
