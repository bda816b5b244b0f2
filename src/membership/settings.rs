//! Settings of the membership duty.

use {crate::settings::section::Section, std::net::SocketAddr};

/// Settings of the membership duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Membership sockets of some entry VMs that the local VM joins through.
    pub seeds: Vec<SocketAddr>,
    /// Interval between rounds, in milliseconds.
    pub round_ms: u64,
    /// Zone peers that are pinged per round; also the number of relays of an indirect ping.
    pub fan: usize,
    /// Milliseconds within which a suspect member may refute the suspicion before it is evicted.
    pub suspect_ms: u64,
    /// Milliseconds without a round after which the lease expires and the local VM joins again.
    pub lease_ms: u64,
    /// Milliseconds without a new summary after which the VMs of another zone are not usable.
    pub zone_ms: u64,
    /// Retention of evicted and leaving members, in milliseconds.
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
