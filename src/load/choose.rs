//! Selection of the target of a request. Pure functions of their arguments: no I/O, no clock.

use {super::plan::Steering, serde::Deserialize, std::net::SocketAddr};

/// Fields of a look-up response that a caller uses.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Lookup {
    /// Time for which the response may be used, in milliseconds.
    pub(super) ttl_ms: u64,
    /// Entry VMs, nearest first.
    pub(super) vms: Vec<Vm>,
}

/// One entry VM of a look-up response.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Vm {
    pub(super) availability_zone: String,
    pub(super) address: SocketAddr,
    pub(super) weight: u32,
}

/// One upstream with its last reported load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Upstream {
    pub(super) address: SocketAddr,
    pub(super) load: u32,
}

/// Targets known to a caller, with the state of the selection among them.
#[derive(Clone, Debug)]
pub(super) struct Targets {
    pub(super) steering: Steering,
    pub(super) vms: Vec<Vm>,
    pub(super) upstreams: Vec<Upstream>,
    /// Number of selections so far, for rotation.
    pub(super) selections: usize,
}

/// Selects the target of the next request; `draw` is a uniform random number.
///
/// Returns `None` if no target is known.
pub(super) fn choose(targets: &mut Targets, draw: u32) -> Option<SocketAddr> {
    match targets.steering {
        Steering::Siskinstep => weighted(&targets.vms, draw),
        Steering::RoundRobin => {
            targets.selections += 1;
            let count = targets.upstreams.len();
            let index = targets.selections.checked_rem(count)?;
            Some(targets.upstreams[index].address)
        }
        Steering::LeastLoad => {
            targets.selections += 1;
            let count = targets.upstreams.len();
            // Starts at the next upstream each time, so that upstreams of equal load are rotated.
            let order = (0..count).map(|step| (targets.selections + step) % count);
            let index = order.min_by_key(|index| targets.upstreams[*index].load)?;
            Some(targets.upstreams[index].address)
        }
    }
}

/// Selects a VM of the nearest zone with a probability proportional to its weight.
fn weighted(vms: &[Vm], draw: u32) -> Option<SocketAddr> {
    let zone = &vms.first()?.availability_zone;
    let nearest = || vms.iter().filter(|vm| vm.availability_zone == *zone);
    let total: u64 = nearest().map(|vm| u64::from(vm.weight)).sum();
    let mut remaining = u64::from(draw).checked_rem(total).unwrap_or(0);
    for vm in nearest() {
        let weight = u64::from(vm.weight);
        if remaining < weight {
            return Some(vm.address);
        }
        remaining -= weight;
    }
    nearest().next().map(|vm| vm.address)
}
