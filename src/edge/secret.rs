//! The secret that operators and peers share, read from a file and compared in constant time.

use {
    snafu::{ResultExt, Snafu, ensure},
    std::{fs, path::Path, sync::Arc},
    subtle::ConstantTimeEq,
};

/// Header that carries the secret between processes.
pub const SECRET_HEADER: &str = "siskinstep-secret";

const SHORTEST_BYTES: usize = 16;

/// A shared secret; its value is never printed.
#[derive(Clone)]
pub struct Secret {
    text: Arc<str>,
}

/// Why a secret was not taken.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The file could not be read.
    #[snafu(display("{path}: {source}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The secret is too short or holds bytes that a header cannot carry.
    #[snafu(display(
        "{path}: expected a secret of at least {SHORTEST_BYTES} printable characters"
    ))]
    Weak {
        /// Path of the file.
        path: String,
    },
}

impl Secret {
    /// Takes `text` as the secret.
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

    /// Reads the secret from a file; white space around it does not count.
    ///
    /// # Errors
    /// The file is unreadable, or the secret too short.
    ///
    /// ```
    /// assert!(siskinstep::edge::Secret::load("no-such-file".as_ref()).is_err());
    /// ```
    pub fn load(path: &Path) -> Result<Self, SecretError> {
        let shown = path.display().to_string();
        let text = fs::read_to_string(path).context(UnreadableSnafu { path: &shown })?;
        let text = text.trim();
        let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        ensure!(
            text.len() >= SHORTEST_BYTES && printable,
            WeakSnafu { path: shown }
        );
        Ok(Self::new(text))
    }

    /// Whether `given` is the secret; takes the same time for every wrong value of a length.
    ///
    /// ```
    /// assert!(!siskinstep::edge::Secret::new("0123456789abcdef").matches(b""));
    /// ```
    #[must_use]
    pub fn matches(&self, given: &[u8]) -> bool {
        self.text.as_bytes().ct_eq(given).into()
    }

    /// The value, to be sent to a process that shares it.
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
