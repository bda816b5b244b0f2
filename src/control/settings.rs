//! Settings of a control VM.

use {
    crate::{
        agree::{self, MemberConfig},
        edge::LOOPBACK,
        settings::{section::Section, vm::Vm},
    },
    std::net::SocketAddr,
};

/// Addresses that a control VM listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listeners {
    /// Operators: commands.
    pub operators: SocketAddr,
    /// Peers: entry VMs and other control VMs.
    pub peers: SocketAddr,
    /// Operators: metrics and status of this VM.
    pub admin: SocketAddr,
    /// Entry VMs: datagrams that tell that they serve.
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
    /// Reads the section `listeners`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        Self {
            operators: section.address("operators", base.operators),
            peers: section.address("peers", base.peers),
            admin: section.address("admin", base.admin),
            beacons: section.address("beacons", base.beacons),
        }
    }
}

/// Settings of a control VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM.
    pub vm: Vm,
    /// Addresses to listen on.
    pub listeners: Listeners,
    /// Agreement among control VMs.
    pub agree: agree::Settings,
    /// Milliseconds of silence after which an upstream that reports itself is forgotten.
    pub silent_ms: u64,
    /// How the others know this control VM, where it need not be listed.
    pub me: Option<MemberConfig>,
}

/// Five reports of an upstream that sends one every 1.5 s, and some for those that come late.
const SILENT_MS: u64 = 10_000;

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: Vm::default(),
            listeners: Listeners::default(),
            agree: agree::Settings::default(),
            silent_ms: SILENT_MS,
            me: None,
        }
    }
}

impl Settings {
    /// How the other control VMs know this one.
    #[must_use]
    pub fn listed(&self) -> MemberConfig {
        if let Some(me) = &self.me {
            return me.clone();
        }
        let own = self
            .agree
            .members
            .iter()
            .find(|row| row.name == self.vm.name);
        own.cloned().unwrap_or_else(|| MemberConfig {
            name: self.vm.name.clone(),
            peers: self.listeners.peers,
            operators: self.listeners.operators,
        })
    }

    /// Reads a settings file of a control VM.
    pub fn read(section: &mut Section<'_>) -> Self {
        let vm = Vm::read(section);
        let silent_ms = section.number("silent_ms", SILENT_MS, 100..=600_000);
        let mut agree = section.section("agree", agree::Settings::read);
        agree.members = section.list("members", MemberConfig::read);
        check_members(section, &agree.members, &vm);
        Self {
            vm,
            listeners: section.section("listeners", Listeners::read),
            agree,
            silent_ms,
            me: None,
        }
    }
}

fn check_members(section: &mut Section<'_>, members: &[MemberConfig], vm: &Vm) {
    if members.is_empty() {
        return;
    }
    if !members.iter().any(|row| row.name == vm.name) {
        section.reject("members", "expected a row for `vm`");
    }
    let mut names: Vec<&str> = members.iter().map(|row| row.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    if names.len() != members.len() {
        section.reject("members", "names must differ");
    }
    if vm.data_dir.is_empty() {
        section.reject("data_dir", "expected a folder, as `members` are given");
    }
}
