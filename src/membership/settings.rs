//! Settings of the membership duty.

use {crate::settings::section::Section, std::net::SocketAddr};

/// Settings of the membership duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Membership sockets of a few entry VMs, to join through.
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds between rounds of pings.
    pub round_ms: u64,
    /// Zone peers pinged a round.
    pub fan: usize,
    /// Milliseconds for which a suspect may refute before it is evicted.
    pub suspect_ms: u64,
    /// Milliseconds without a round after which this VM joins again.
    pub lease_ms: u64,
    /// Milliseconds without news after which another zone's VMs are not named.
    pub zone_ms: u64,
    /// Milliseconds for which an evicted incarnation is remembered.
    pub forget_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            round_ms: 500,
            fan: 2,
            suspect_ms: 2_000,
            lease_ms: 2_000,
            zone_ms: 10_000,
            forget_ms: 3_600_000,
        }
    }
}

impl Settings {
    /// Reads the section `membership`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        let settings = Self {
            seeds: section.addresses("seeds"),
            round_ms: section.number("round_ms", base.round_ms, 10..=60_000),
            fan: section.size("fan", base.fan, 1..=16),
            suspect_ms: section.number("suspect_ms", base.suspect_ms, 10..=600_000),
            lease_ms: section.number("lease_ms", base.lease_ms, 10..=600_000),
            zone_ms: section.number("zone_ms", base.zone_ms, 10..=3_600_000),
            forget_ms: section.number("forget_ms", base.forget_ms, 1_000..=86_400_000),
        };
        if settings.lease_ms <= settings.round_ms {
            section.reject("lease_ms", "expected more than `round_ms`");
        }
        settings
    }
}
