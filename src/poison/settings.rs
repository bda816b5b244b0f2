//! Settings of the poison duty.

use crate::settings::section::Section;

/// Settings of the poison duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of lost upstreams at which a request is refused.
    pub losses: usize,
    /// Retention of charges in milliseconds.
    pub ttl_ms: u64,
    /// Time in milliseconds within which two cut connections of an upstream mean that its process
    /// is lost; 0 if cuts alone never mean it.
    pub burst_ms: u64,
    /// Time in milliseconds after a cut connection during which the upstream is probed and the
    /// request is charged if the process turns out to be lost.
    pub watch_ms: u64,
    /// Maximum number of charged requests; the one that expires first is evicted.
    pub charges: usize,
    /// Whether the duty probes upstreams with a cut connection. Otherwise the duty that makes the attempts
    /// reports losses.
    pub probes: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            losses: 2,
            ttl_ms: 600_000,
            burst_ms: 250,
            watch_ms: 2_000,
            charges: 1_024,
            probes: true,
        }
    }
}

impl Settings {
    /// Settings for charges that the control VMs count over the whole fleet, of losses that the courier duty has
    /// confirmed. Three losses, as an upstream that crashes for reasons of its own runs many other requests.
    ///
    /// ```
    /// assert!(!siskinstep::poison::Settings::replicated().probes);
    /// ```
    #[must_use]
    pub fn replicated() -> Self {
        Self {
            losses: 3,
            burst_ms: 0,
            probes: false,
            ..Self::default()
        }
    }

    /// Reads the section `poison`, and reports invalid values to it.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            losses: section.size("losses", base.losses, 1..=100),
            ttl_ms: section.number("ttl_ms", base.ttl_ms, 1_000..=86_400_000),
            burst_ms: section.number("burst_ms", base.burst_ms, 1..=60_000),
            watch_ms: section.number("watch_ms", base.watch_ms, 1..=60_000),
            charges: section.size("charges", base.charges, 1..=100_000),
            probes: base.probes,
        }
    }
}
