//! Why a data folder cannot be used.

use {
    snafu::Snafu,
    std::{io, path::Path},
};

/// Why a data folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// The system refused an operation.
    #[snafu(display("{file}: {source}"))]
    Io {
        /// Path of the file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("{file}: another process uses this data folder"))]
    Locked {
        /// Path of the lock file.
        file: String,
    },
    /// Durable data is damaged.
    #[snafu(display("{file}: damaged at byte {offset}: {detail}"))]
    Corrupt {
        /// Path of the file.
        file: String,
        /// Bytes from the start of the file.
        offset: usize,
        /// What was found.
        detail: &'static str,
    },
}

/// An I/O error of the file at `path`.
pub(super) fn io_error(path: &Path) -> impl FnOnce(io::Error) -> StorageError {
    let file = path.display().to_string();
    move |source| StorageError::Io { file, source }
}

/// Damage in the file at `path`.
pub(super) fn corrupt(path: &Path, offset: usize, detail: &'static str) -> StorageError {
    StorageError::Corrupt {
        file: path.display().to_string(),
        offset,
        detail,
    }
}
