//! Settings of a control VM.

use {
    crate::{
        edge::Limits,
        keys::ZoneKey,
        settings::{section::Section, topology::Topology},
    },
    std::net::SocketAddr,
};

const LOOPBACK: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    0,
));

/// Addresses that a control VM listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listeners {
    /// Operators: commands.
    pub operators: SocketAddr,
    /// Peers: entry VMs and other control VMs.
    pub peers: SocketAddr,
    /// Operators: metrics and status of this VM.
    pub admin: SocketAddr,
}

impl Default for Listeners {
    fn default() -> Self {
        Self {
            operators: LOOPBACK,
            peers: LOOPBACK,
            admin: LOOPBACK,
        }
    }
}

impl Listeners {
    /// Reads the section `listeners`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            operators: section.address("operators", base.operators),
            peers: section.address("peers", base.peers),
            admin: section.address("admin", base.admin),
        }
    }
}

/// Settings of a control VM.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Name of the VM, unique in the fleet.
    pub vm: String,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Names that the fleet shares.
    pub topology: Topology,
    /// Addresses to listen on.
    pub listeners: Listeners,
    /// Bounds of the listeners.
    pub limits: Limits,
    /// File with the secret shared by operators and peers.
    pub secret_file: String,
    /// Messages that a ring holds.
    pub ring: usize,
}

impl Settings {
    /// Reads a settings file of a control VM.
    pub fn read(section: &mut Section<'_>) -> Self {
        let vm = section.name("vm");
        let zone_name = section.text("availability_zone", "");
        let topology = Topology::read(section);
        let zone = topology.zone(&zone_name);
        if zone.is_none() {
            section.reject("availability_zone", "expected a zone of `regions`");
        }
        Self {
            vm,
            zone: zone.unwrap_or(ZoneKey(0)),
            topology,
            listeners: section.section("listeners", Listeners::read),
            limits: section.section("limits", Limits::read),
            secret_file: section.text("secret_file", "siskinstep.secret"),
            ring: section.size("ring", 4_096, 1..=1 << 20),
        }
    }
}
