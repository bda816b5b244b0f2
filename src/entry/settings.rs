//! Settings of an entry VM.

use {
    crate::{
        announce, claims,
        edge::LOOPBACK,
        explain, forward, ledger, lookup, membership, poison, relay,
        settings::{section::Section, vm::Vm},
        shift, slots, spread,
    },
    std::net::SocketAddr,
};

/// Addresses that an entry VM listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listeners {
    /// Callers: look-ups and requests.
    pub callers: SocketAddr,
    /// Upstreams: announcements.
    pub upstreams: SocketAddr,
    /// Peers: other VMs of the system.
    pub peers: SocketAddr,
    /// Members: heartbeats, UDP.
    pub members: SocketAddr,
    /// Operators: metrics and status of this VM.
    pub admin: SocketAddr,
}

impl Default for Listeners {
    fn default() -> Self {
        Self {
            callers: LOOPBACK,
            upstreams: LOOPBACK,
            peers: LOOPBACK,
            members: LOOPBACK,
            admin: LOOPBACK,
        }
    }
}

impl Listeners {
    /// Reads the section `listeners`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            callers: section.address("callers", base.callers),
            upstreams: section.address("upstreams", base.upstreams),
            peers: section.address("peers", base.peers),
            members: section.address("members", base.members),
            admin: section.address("admin", base.admin),
        }
    }
}

/// Settings of an entry VM.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The VM.
    pub vm: Vm,
    /// Addresses to listen on.
    pub listeners: Listeners,
    /// Milliseconds for which a stopping VM still serves callers that hold an older look-up.
    pub linger_ms: u64,
    /// Milliseconds at most for work in flight to end at a stop.
    pub stop_ms: u64,
    /// Look-ups.
    pub lookup: lookup::Settings,
    /// Announcements.
    pub announce: announce::Settings,
    /// Shifts.
    pub shift: shift::Settings,
    /// Slots.
    pub slots: slots::Settings,
    /// Relay.
    pub relay: relay::Settings,
    /// Forwarding to other zones.
    pub forward: forward::Settings,
    /// Members.
    pub membership: membership::Settings,
    /// Remembered decisions.
    pub explain: explain::Settings,
    /// Claims of idempotency keys.
    pub claims: claims::Settings,
    /// Durable votes on idempotency keys.
    pub ledger: ledger::Settings,
    /// Requests that crash upstreams.
    pub poison: poison::Settings,
    /// Configuration.
    pub spread: spread::Settings,
}

impl Settings {
    /// Reads a settings file of an entry VM.
    pub fn read(section: &mut Section<'_>) -> Self {
        let settings = Self {
            vm: Vm::read(section),
            listeners: section.section("listeners", Listeners::read),
            linger_ms: section.number("linger_ms", 1_000, 0..=600_000),
            stop_ms: section.number("stop_ms", 30_000, 1..=3_600_000),
            lookup: section.section("lookup", lookup::Settings::read),
            announce: section.section("announce", announce::Settings::read),
            shift: section.section("shift", shift::Settings::read),
            slots: section.section("slots", slots::Settings::read),
            relay: section.section("relay", relay::Settings::read),
            forward: section.section("forward", forward::Settings::read),
            membership: section.section("membership", membership::Settings::read),
            explain: section.section("explain", explain::Settings::read),
            claims: section.section("claims", claims::Settings::read),
            ledger: section.section("ledger", ledger::Settings::read),
            poison: section.section("poison", poison::Settings::read),
            spread: section.section("spread", spread::Settings::read),
        };
        if settings.vm.data_dir.is_empty() && settings.other_ledgers().is_some() {
            section.reject(
                "data_dir",
                "expected a folder, as this VM is a ledger of `claims`",
            );
        }
        settings
    }

    /// The other ledgers of this VM's group, or `None` if it is in no group.
    #[must_use]
    pub fn other_ledgers(&self) -> Option<Vec<SocketAddr>> {
        let me = self.listeners.peers;
        let groups = &mut self.claims.groups.iter();
        let group = groups.find(|group| group.ledgers.contains(&me))?;
        let others = group.ledgers.iter().copied().filter(|at| *at != me);
        Some(others.collect())
    }
}
