//! Settings of a control VM.

use {
    crate::{
        agree::{self, Listed},
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
    /// Folder for what must survive; empty keeps nothing, which only a trial may do.
    pub data_dir: String,
    /// Agreement among control VMs.
    pub agree: agree::Settings,
}

impl Settings {
    /// How the other control VMs know this one.
    #[must_use]
    pub fn listed(&self) -> Listed {
        let own = self.agree.members.iter().find(|row| row.name == self.vm);
        own.cloned().unwrap_or_else(|| Listed {
            name: self.vm.clone(),
            peers: self.listeners.peers,
            operators: self.listeners.operators,
        })
    }

    /// Reads a settings file of a control VM.
    pub fn read(section: &mut Section<'_>) -> Self {
        let vm = section.name("vm");
        let zone_name = section.text("availability_zone", "");
        let topology = Topology::read(section);
        let zone = topology.zone(&zone_name);
        if zone.is_none() {
            section.reject("availability_zone", "expected a zone of `regions`");
        }
        let data_dir = section.text("data_dir", "");
        let mut agree = section.section("agree", agree::Settings::read);
        agree.members = section.list("members", Listed::read);
        check_members(section, &agree.members, &vm, &data_dir);
        Self {
            vm,
            zone: zone.unwrap_or(ZoneKey(0)),
            topology,
            listeners: section.section("listeners", Listeners::read),
            limits: section.section("limits", Limits::read),
            secret_file: section.text("secret_file", "siskinstep.secret"),
            ring: section.size("ring", 4_096, 1..=1 << 20),
            data_dir,
            agree,
        }
    }
}

fn check_members(section: &mut Section<'_>, members: &[Listed], vm: &str, data_dir: &str) {
    if members.is_empty() {
        return;
    }
    if !members.iter().any(|row| row.name == vm) {
        section.reject("members", "expected a row for `vm`");
    }
    let mut names: Vec<&str> = members.iter().map(|row| row.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    if names.len() != members.len() {
        section.reject("members", "names must differ");
    }
    if data_dir.is_empty() {
        section.reject("data_dir", "expected a folder, as `members` are given");
    }
}
