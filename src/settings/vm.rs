//! What the settings of every VM have in common, whatever runs on it.

use {
    super::{section::Section, topology::Topology},
    crate::{context::Context, edge::Limits, keys::ZoneKey},
    std::sync::Arc,
};

/// A VM, the names that it knows, and its bounds.
#[derive(Clone, Debug, Default)]
pub struct Vm {
    /// Name, unique in the fleet.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Names that the fleet shares.
    pub topology: Topology,
    /// Bounds of its listeners.
    pub limits: Limits,
    /// File with the secret shared by operators and peers.
    pub secret_file: String,
    /// Folder for what must survive a restart, empty on a VM without a disk.
    pub data_dir: String,
    /// Messages that a ring holds.
    pub ring: usize,
}

impl Vm {
    /// Reads the keys that stand at the top of every settings file.
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

    /// The context of a process on this VM.
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
