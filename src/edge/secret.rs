//! Secret shared by operators and VMs, read from a file and compared in constant time.

use {
    snafu::{ResultExt, Snafu, ensure},
    std::{fs, path::Path, sync::Arc},
    subtle::ConstantTimeEq,
};

/// Header that carries the secret between processes.
pub const SECRET_HEADER: &str = "siskinstep-secret";

const MIN_SECRET_BYTES: usize = 16;

/// A shared secret. Its `Debug` output omits the value.
#[derive(Clone)]
pub struct Secret {
    text: Arc<str>,
}

/// Reason why a secret was not accepted.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The file could not be read.
    #[snafu(display("{path}: {source}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The secret is too short, or contains characters other than printable ASCII.
    #[snafu(display(
        "{path}: expected a secret of at least {MIN_SECRET_BYTES} printable characters"
    ))]
    Weak {
        /// Path of the file.
        path: String,
    },
}

impl Secret {
    /// Creates a secret from `text` without a check.
    ///
    /// ```
    /// let secret = siskinstep::edge::Secret::new("0123456789abcdef");
    /// assert!(secret.matches(b"0123456789abcdef"));
    /// assert!(!secret.matches(b"0123456789abcdee"));
    /// ```
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self { text: text.into() }
    }

    /// Reads the secret from a file, without surrounding white space.
    ///
    /// # Errors
    /// The file is unreadable, or the secret is too short or not printable.
    ///
    /// ```
    /// assert!(siskinstep::edge::Secret::load("no-such-file".as_ref()).is_err());
    /// ```
    pub fn load(path: &Path) -> Result<Self, SecretError> {
        let path_text = path.display().to_string();
        let text = fs::read_to_string(path).context(UnreadableSnafu { path: &path_text })?;
        let text = text.trim();
        let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        ensure!(
            text.len() >= MIN_SECRET_BYTES && is_printable,
            WeakSnafu { path: path_text }
        );
        Ok(Self::new(text))
    }

    /// Whether `given` equals the secret; constant time for values of equal length.
    ///
    /// ```
    /// assert!(!siskinstep::edge::Secret::new("0123456789abcdef").matches(b""));
    /// ```
    #[must_use]
    pub fn matches(&self, given: &[u8]) -> bool {
        self.text.as_bytes().ct_eq(given).into()
    }

    /// Returns the value, for sending it to another process of the system.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.text
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}
