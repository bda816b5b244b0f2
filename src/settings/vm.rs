//! Settings that entry VMs and control VMs share.

use {
    super::{section::Section, topology::Topology},
    crate::{context::Context, edge::Limits, keys::ZoneKey},
    std::sync::Arc,
};

/// Identity, topology and limits of a VM.
#[derive(Clone, Debug, Default)]
pub struct Vm {
    /// Name, unique in the fleet.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Regions, zones, services and request kinds, the same on all VMs of the fleet.
    pub topology: Topology,
    /// Limits of its listeners.
    pub limits: Limits,
    /// Path of the file with the secret shared by operators and peers.
    pub secret_file: String,
    /// Folder for data that must survive a restart; empty on a VM without a disk.
    pub data_dir: String,
    /// Capacity of each ring, in messages.
    pub ring: usize,
}

impl Vm {
    /// Reads the top-level keys that every settings file has.
    pub fn read(section: &mut Section<'_>) -> Self {
        let name = section.name("vm");
        let zone_name = section.text("availability_zone", "");
        let topology = Topology::read(section);
        let zone = topology.zone(&zone_name);
        if zone.is_none() {
            section.reject("availability_zone", "expected a zone of `regions`");
        }
        Self {
            name,
            zone: zone.unwrap_or_default(),
            topology,
            limits: section.section("limits", Limits::read),
            secret_file: section.text("secret_file", "siskinstep.secret"),
            data_dir: section.text("data_dir", ""),
            ring: section.size("ring", 4_096, 1..=1 << 20),
        }
    }

    /// Creates the context of a process on this VM.
    ///
    /// ```
    /// let vm = siskinstep::settings::vm::Vm::default();
    /// assert_eq!(&*vm.context().vm, "");
    /// ```
    #[must_use]
    pub fn context(&self) -> Context {
        Context::new(&self.name, self.zone, Arc::new(self.topology.clone()))
    }
}
