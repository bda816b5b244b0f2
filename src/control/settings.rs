//! Settings of a control VM.

use {
    crate::{
        agree::{self, MemberConfig},
        edge::LOOPBACK,
        settings::{section::Section, vm::Vm},
        shares,
    },
    std::net::SocketAddr,
};

/// Listen addresses of a control VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listeners {
    /// Operators: RPC commands.
    pub operators: SocketAddr,
    /// Peers: entry VMs and other control VMs.
    pub peers: SocketAddr,
    /// Admin listener: metrics and status of this VM.
    pub admin: SocketAddr,
    /// Entry VMs: UDP heartbeats of those that are serving.
    pub beacons: SocketAddr,
}

impl Default for Listeners {
    fn default() -> Self {
        Self {
            operators: LOOPBACK,
            peers: LOOPBACK,
            admin: LOOPBACK,
            beacons: LOOPBACK,
        }
    }
}

impl Listeners {
    /// Parses the section `listeners`; an omitted address defaults to loopback with any port.
    pub fn read(section: &mut Section<'_>) -> Self {
        let defaults = Self::default();
        Self {
            operators: section.address("operators", defaults.operators),
            peers: section.address("peers", defaults.peers),
            admin: section.address("admin", defaults.admin),
            beacons: section.address("beacons", defaults.beacons),
        }
    }
}

/// Settings of a control VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings common to all VMs.
    pub vm: Vm,
    /// Listen addresses.
    pub listeners: Listeners,
    /// Replicated log.
    pub agree: agree::Settings,
    /// Time without a report after which a self-reporting upstream is removed, in milliseconds.
    pub silent_ms: u64,
    /// Excess over the limits of workspaces that is allowed.
    pub shares: shares::Settings,
    /// Name and addresses by which the other control VMs identify and reach this one, for a VM that
    /// need not be in `agree.members`.
    pub local_member: Option<MemberConfig>,
}

/// Covers five reports, which upstreams send every 1.5 s, and a margin for delayed ones.
const SILENT_MS: u64 = 10_000;

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: Vm::default(),
            listeners: Listeners::default(),
            agree: agree::Settings::default(),
            silent_ms: SILENT_MS,
            shares: shares::Settings::default(),
            local_member: None,
        }
    }
}

impl Settings {
    /// Name and addresses by which the other control VMs identify and reach this one: `local_member` if
    /// set, otherwise its row in `agree.members`, otherwise the VM's name and listen addresses.
    #[must_use]
    pub fn local_member(&self) -> MemberConfig {
        if let Some(member) = &self.local_member {
            return member.clone();
        }
        let local_row = self
            .agree
            .members
            .iter()
            .find(|row| row.name == self.vm.name);
        local_row.cloned().unwrap_or_else(|| MemberConfig {
            name: self.vm.name.clone(),
            peers: self.listeners.peers,
            operators: self.listeners.operators,
        })
    }

    /// Parses the settings file of a control VM.
    pub fn read(section: &mut Section<'_>) -> Self {
        let vm = Vm::read(section);
        let silent_ms = section.number("silent_ms", SILENT_MS, 100..=600_000);
        let mut agree = section.section("agree", agree::Settings::read);
        agree.members = section.list("members", MemberConfig::read);
        validate_members(section, &agree.members, &vm);
        Self {
            vm,
            listeners: section.section("listeners", Listeners::read),
            agree,
            silent_ms,
            shares: shares::Settings::default(),
            local_member: None,
        }
    }
}

fn validate_members(section: &mut Section<'_>, members: &[MemberConfig], vm: &Vm) {
    if members.is_empty() {
        return;
    }
    if !members.iter().any(|row| row.name == vm.name) {
        section.reject("members", "expected an entry for `vm`");
    }
    let mut names: Vec<&str> = members.iter().map(|row| row.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    if names.len() != members.len() {
        section.reject("members", "names must be unique");
    }
    if vm.data_dir.is_empty() {
        section.reject("data_dir", "expected a folder, as `members` is set");
    }
}
