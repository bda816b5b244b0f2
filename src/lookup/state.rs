//! State of the look-up duty.

use {super::messages::Vm, crate::policy::Policy, std::sync::Arc};

/// Inputs of the ranking.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Live entry VMs.
    pub vms: Vec<Vm>,
    /// Policy in force.
    pub policy: Arc<Policy>,
    /// Whether this VM is shutting down.
    pub stopping: bool,
}
