//! Files that are replaced as a whole: hard state and snapshots.

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
const HEAD_BYTES: usize = MAGIC.len() + 4;

/// Replaces the file `name` of `folder`: write aside, sync, rename, sync the folder.
pub(super) fn replace(folder: &Path, name: &str, content: &impl Serialize) -> io::Result<()> {
    let body = postcard::to_stdvec(content).map_err(io::Error::other)?;
    let aside = folder.join(format!("{name}.new"));
    let mut file = File::create(&aside)?;
    file.write_all(&MAGIC)?;
    file.write_all(&crc32fast::hash(&body).to_le_bytes())?;
    file.write_all(&body)?;
    file.sync_all()?;
    fs::rename(&aside, folder.join(name))?;
    sync_folder(folder)
}

/// Reads a file that [`replace`] wrote; `None` when there is none.
pub(super) fn read<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error(path)(error)),
    };
    if bytes.len() < HEAD_BYTES || bytes[..MAGIC.len()] != MAGIC {
        return Err(corrupt(path, 0, "not a file of this system"));
    }
    let (head, body) = bytes.split_at(HEAD_BYTES);
    if crc32fast::hash(body).to_le_bytes() != head[MAGIC.len()..] {
        return Err(corrupt(path, HEAD_BYTES, "checksum does not match"));
    }
    let content = postcard::from_bytes(body);
    content
        .map(Some)
        .map_err(|_| corrupt(path, HEAD_BYTES, "unknown layout"))
}

/// Makes renames, new files and removals in the folder durable.
pub(super) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// The files of `folder` named `prefix` and a number, by rising number.
pub(super) fn numbered(folder: &Path, prefix: &str) -> Result<Vec<(u64, PathBuf)>, StorageError> {
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
