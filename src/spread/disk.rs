//! Stores the last configuration in a file, which is synced to disk and replaced atomically.

use {
    crate::policy::Policy,
    std::{
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

const FILE_NAME: &str = "configuration";
const TEMP_FILE_NAME: &str = "configuration.draft";
const CHECKSUM_BYTES: usize = 4;

/// Folder that contains the file.
#[derive(Clone, Debug)]
pub(super) struct Disk {
    folder: PathBuf,
}

impl Disk {
    /// Opens `folder`, which is created if it does not exist.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub(super) fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
        })
    }

    /// Loads the configuration that was stored last, if there is one.
    ///
    /// # Errors
    /// The file cannot be read or is corrupted.
    pub(super) fn load(&self) -> io::Result<Option<Policy>> {
        let bytes = match fs::read(self.folder.join(FILE_NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let corrupted = || {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "stored configuration is corrupted",
            )
        };
        let (checksum, body) = bytes
            .split_at_checked(CHECKSUM_BYTES)
            .ok_or_else(corrupted)?;
        if checksum != crc32fast::hash(body).to_le_bytes() {
            return Err(corrupted());
        }
        postcard::from_bytes(body)
            .map(Some)
            .map_err(|_| corrupted())
    }

    /// Stores `policy`, which is durable on return.
    ///
    /// # Errors
    /// The file cannot be written, synced or replaced.
    pub(super) fn store(&self, policy: &Policy) -> io::Result<()> {
        let body = postcard::to_stdvec(policy).map_err(io::Error::other)?;
        let temp_path = self.folder.join(TEMP_FILE_NAME);
        let mut file = File::create(&temp_path)?;
        file.write_all(&crc32fast::hash(&body).to_le_bytes())?;
        file.write_all(&body)?;
        file.sync_all()?;
        fs::rename(&temp_path, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()
    }
}
