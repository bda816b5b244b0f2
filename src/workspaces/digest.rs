//! Digests of API keys.
//!
//! Entry VMs know keys only by their digests, so that no memory dump, log line or page between VMs contains one.
//! Comparing digests in variable time reveals nothing about a key, as callers cannot choose the digest.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
};

/// Bytes of a digest: 128 bits make a collision between a billion keys improbable.
const BYTES: usize = 16;

/// Truncated SHA-256 digest of an API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Digest of a key.
    ///
    /// ```
    /// use siskinstep::workspaces::Digest;
    /// assert_eq!(Digest::of(b"key"), Digest::of(b"key"));
    /// assert_ne!(Digest::of(b"key"), Digest::of(b"Key"));
    /// ```
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&Sha256::digest(key)[..BYTES]);
        Self(bytes)
    }
    /// Scales the digest to `0..count`, preserving the order of digests.
    ///
    /// ```
    /// use siskinstep::workspaces::Digest;
    /// assert!(Digest::of(b"key").scaled_to(7) < 7);
    /// ```
    #[must_use]
    pub fn scaled_to(&self, count: usize) -> usize {
        let mut prefix = [0; size_of::<u64>()];
        prefix.copy_from_slice(&self.0[..size_of::<u64>()]);
        let scaled = (u128::from(u64::from_be_bytes(prefix)) * count as u128) >> u64::BITS;
        usize::try_from(scaled).unwrap_or_default()
    }
}
