//! Ranks entry VMs. Without I/O or clock.

use {
    super::{
        messages::{Ranked, Ranking, Vm},
        settings::Settings,
        state::State,
    },
    crate::{context::Context, policy::Drain},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Ranks the VMs that may be named: own zone, then own region, then the rest.
#[must_use]
pub fn rank(state: &State, context: &Context, settings: Settings) -> Ranking {
    let mut vms: Vec<_> = state
        .vms
        .iter()
        .filter(|vm| may_be_named(state, context, vm))
        .map(|vm| (order(context, vm), vm))
        .collect();
    vms.sort();
    let own = vms.partition_point(|(order, _)| order.distance == 0);
    let far = vms.len() - own;
    let most = settings.rows.max(1);
    let near = own.min(most.saturating_sub(far.min(settings.far)).max(1));
    let rows = vms[..near]
        .iter()
        .chain(&vms[own..])
        .take(most)
        .map(|(_, vm)| row(vm))
        .collect();
    Ranking {
        version: state.policy.version,
        ttl_ms: settings.ttl_ms,
        rows,
    }
}

/// The nearest come first. Each VM names others of one zone in an order of its own, so that
/// bounded answers do not all name the same ones.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    distance: u8,
    suspect: bool,
    hash: u64,
}

fn order(context: &Context, vm: &Vm) -> Order {
    let seed = xxh3_64(context.vm.as_bytes());
    Order {
        distance: context.topology.distance(context.zone, vm.zone),
        suspect: vm.suspect,
        hash: xxh3_64_with_seed(vm.name.as_bytes(), seed),
    }
}

fn may_be_named(state: &State, context: &Context, vm: &Vm) -> bool {
    let stopping = state.stopping && *vm.name == *context.vm;
    let zone = &context.topology.zones[usize::from(vm.zone.0)].name;
    let drained = state.policy.drains(&Drain::Vm(vm.name.clone()))
        || state.policy.drains(&Drain::AvailabilityZone(zone.clone()));
    !stopping && !drained
}

fn row(vm: &Vm) -> Ranked {
    Ranked {
        vm: vm.name.clone(),
        zone: vm.zone,
        address: vm.callers,
        // A VM without free slots is still named: its count may be out of date.
        weight: if vm.suspect { 1 } else { vm.free.max(1) },
    }
}
