//! Settings of the announce duty.

use crate::settings::section::Section;

/// Settings of the announce duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds without an announcement after which an upstream gets no new requests.
    pub lease_ms: u64,
    /// Milliseconds after which an upstream should announce itself again.
    pub renew_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_ms: 2_000,
            renew_ms: 500,
        }
    }
}

impl Settings {
    /// Reads the section `announce`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        let settings = Self {
            lease_ms: section.number("lease_ms", base.lease_ms, 100..=60_000),
            renew_ms: section.number("renew_ms", base.renew_ms, 10..=60_000),
        };
        if settings.renew_ms * 2 > settings.lease_ms {
            section.reject("renew_ms", "expected at most half of lease_ms");
        }
        settings
    }
}
