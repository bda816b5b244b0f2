//! Ranks entry VMs. Without I/O or clock.

use {
    super::{
        messages::{Ranked, Table, Vm},
        state::State,
    },
    crate::{context::Context, keys::ZoneKey, policy::Drain, settings::topology::Topology},
};

/// Ranks the VMs that may be named: own zone, then own region, then the rest.
#[must_use]
pub fn rank(state: &State, context: &Context, ttl_ms: u64) -> Table {
    let mut vms: Vec<&Vm> = state
        .vms
        .iter()
        .filter(|vm| may_be_named(state, context, vm))
        .collect();
    vms.sort_by_key(|vm| (distance(&context.topology, context.zone, vm.zone), &vm.name));
    let rows = vms.into_iter().map(row).collect();
    Table {
        version: state.policy.version,
        ttl_ms,
        rows,
    }
}

fn may_be_named(state: &State, context: &Context, vm: &Vm) -> bool {
    let stopping = state.stopping && *vm.name == *context.vm;
    let zone = &context.topology.zones[usize::from(vm.zone.0)].name;
    let drained = state.policy.drains(&Drain::Vm(vm.name.clone()))
        || state.policy.drains(&Drain::AvailabilityZone(zone.clone()));
    !stopping && !drained
}

fn distance(topology: &Topology, from: ZoneKey, to: ZoneKey) -> u8 {
    if from == to {
        return 0;
    }
    if topology.region_of(from) == topology.region_of(to) {
        return 1;
    }
    2
}

fn row(vm: &Vm) -> Ranked {
    Ranked {
        vm: vm.name.clone(),
        zone: vm.zone,
        address: vm.callers,
        // A VM without free slots is still named: its count may be out of date.
        weight: vm.free.max(1),
    }
}
