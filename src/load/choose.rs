//! Picks the target of a request. Without I/O or clock.

use {super::plan::Steering, serde::Deserialize, std::net::SocketAddr};

/// The part of a look-up answer that a caller uses.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Lookup {
    /// Milliseconds for which it may be used.
    pub(super) ttl_ms: u64,
    /// Entry VMs, nearest first.
    pub(super) vms: Vec<Vm>,
}

/// One entry VM of a look-up answer.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Vm {
    pub(super) availability_zone: String,
    pub(super) address: SocketAddr,
    pub(super) weight: u32,
}

/// One upstream with the load that it last reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct Upstream {
    pub(super) address: SocketAddr,
    pub(super) load: u32,
}

/// What a caller knows of targets.
#[derive(Clone, Debug)]
pub(super) struct Targets {
    pub(super) steering: Steering,
    pub(super) vms: Vec<Vm>,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) turn: usize,
}

/// The target of the next request; `draw` is random.
pub(super) fn choose(targets: &mut Targets, draw: u32) -> Option<SocketAddr> {
    match targets.steering {
        Steering::Siskinstep => weighted(&targets.vms, draw),
        Steering::RoundRobin => {
            targets.turn += 1;
            let count = targets.upstreams.len();
            let at = targets.turn.checked_rem(count)?;
            Some(targets.upstreams[at].address)
        }
        Steering::LeastLoad => {
            targets.turn += 1;
            let count = targets.upstreams.len();
            // Begins elsewhere each time, so that equal loads are used in turn.
            let order = (0..count).map(|step| (targets.turn + step) % count);
            let at = order.min_by_key(|at| targets.upstreams[*at].load)?;
            Some(targets.upstreams[at].address)
        }
    }
}

/// A VM of the nearest zone, in proportion to the weights.
fn weighted(vms: &[Vm], draw: u32) -> Option<SocketAddr> {
    let zone = &vms.first()?.availability_zone;
    let near = || vms.iter().filter(|vm| vm.availability_zone == *zone);
    let total: u64 = near().map(|vm| u64::from(vm.weight)).sum();
    let mut left = u64::from(draw).checked_rem(total).unwrap_or(0);
    for vm in near() {
        let weight = u64::from(vm.weight);
        if left < weight {
            return Some(vm.address);
        }
        left -= weight;
    }
    near().next().map(|vm| vm.address)
}
