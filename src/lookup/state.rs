//! What the look-up duty knows.

use {super::messages::Vm, crate::policy::Policy, std::sync::Arc};

/// What the look-up duty knows.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Entry VMs that are alive.
    pub vms: Vec<Vm>,
    /// Configuration in force.
    pub policy: Arc<Policy>,
    /// Whether this VM is shutting down.
    pub stopping: bool,
}
