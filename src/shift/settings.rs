//! Settings of the shift duty.

use crate::settings::section::Section;

/// Settings of the shift duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds over which a new shift ramps up to its full amount, so that cold caches at the
    /// target can fill.
    pub ramp_ms: u64,
    /// Number of entry VMs that share an absolute rate; with zero, absolute rates move nothing.
    pub rate_vms: u32,
    /// Permille of the free slots that are never granted to other zones.
    pub reserve_permille: u16,
    /// Milliseconds for which granted headroom is valid.
    pub lease_ms: u64,
    /// Milliseconds between two requests for headroom.
    pub ask_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ramp_ms: 10_000,
            rate_vms: 0,
            reserve_permille: 300,
            lease_ms: 500,
            ask_ms: 100,
        }
    }
}

impl Settings {
    /// Reads the section `shift`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        let reserve = section.number("reserve_permille", base.reserve_permille.into(), 0..=1_000);
        let rate_vms = section.number("rate_vms", base.rate_vms.into(), 0..=100_000);
        Self {
            ramp_ms: section.number("ramp_ms", base.ramp_ms, 0..=86_400_000),
            rate_vms: u32::try_from(rate_vms).unwrap_or(base.rate_vms),
            reserve_permille: u16::try_from(reserve).unwrap_or(base.reserve_permille),
            lease_ms: section.number("lease_ms", base.lease_ms, 10..=60_000),
            ask_ms: section.number("ask_ms", base.ask_ms, 10..=60_000),
        }
    }
}
