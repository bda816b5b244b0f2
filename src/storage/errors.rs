//! Errors of the data folder.

use {
    snafu::Snafu,
    std::{io, path::Path},
};

/// Reason why a data folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// A file operation failed.
    #[snafu(display("{file}: {source}"))]
    Io {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process has locked the folder.
    #[snafu(display("{file}: another process uses this data folder"))]
    Locked {
        /// Path of the lock file.
        file: String,
    },
    /// Stored data is corrupted or missing.
    #[snafu(display("{file}: damaged at byte {offset}: {detail}"))]
    Corrupt {
        /// Path of the file.
        file: String,
        /// Offset of the corruption from the start of the file, in bytes.
        offset: usize,
        /// Kind of corruption.
        detail: &'static str,
    },
}

/// Converts an I/O error of the file at `path`.
pub(super) fn io_error(path: &Path) -> impl FnOnce(io::Error) -> StorageError {
    let file = path.display().to_string();
    move |source| StorageError::Io { file, source }
}

/// Reports corruption of the file at `path`.
pub(super) fn corrupt(path: &Path, offset: usize, detail: &'static str) -> StorageError {
    StorageError::Corrupt {
        file: path.display().to_string(),
        offset,
        detail,
    }
}
