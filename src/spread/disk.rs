//! Keeps the last configuration in a file: synced, and replaced as a whole.

use {
    crate::policy::Policy,
    std::{
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

const FILE: &str = "configuration";
const DRAFT: &str = "configuration.draft";
const SUM_BYTES: usize = 4;

/// The place of the file.
#[derive(Clone, Debug)]
pub(super) struct Disk {
    folder: PathBuf,
}

impl Disk {
    /// Uses `folder`, which is made if need be.
    pub(super) fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
        })
    }

    /// The configuration that was kept last, if there is one.
    pub(super) fn load(&self) -> io::Result<Option<Policy>> {
        let bytes = match fs::read(self.folder.join(FILE)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let broken = || io::Error::new(io::ErrorKind::InvalidData, "damaged configuration");
        let (sum, body) = bytes.split_at_checked(SUM_BYTES).ok_or_else(broken)?;
        if sum != crc32fast::hash(body).to_le_bytes() {
            return Err(broken());
        }
        postcard::from_bytes(body).map(Some).map_err(|_| broken())
    }

    /// Keeps `policy`; it is durable when this returns.
    pub(super) fn keep(&self, policy: &Policy) -> io::Result<()> {
        let body = postcard::to_stdvec(policy).map_err(io::Error::other)?;
        let draft = self.folder.join(DRAFT);
        let mut file = File::create(&draft)?;
        file.write_all(&crc32fast::hash(&body).to_le_bytes())?;
        file.write_all(&body)?;
        file.sync_all()?;
        fs::rename(&draft, self.folder.join(FILE))?;
        File::open(&self.folder)?.sync_all()
    }
}
