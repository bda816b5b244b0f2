//! Ranks entry VMs. Deterministic, without I/O or clock.

use {
    super::{
        messages::{RankedVm, Ranking, Vm},
        settings::Settings,
        state::State,
    },
    crate::{context::Context, policy::Drain},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Ranks the eligible VMs: those of the local zone first, then the local region, then the rest.
/// Some rows are reserved for VMs outside the local zone.
#[must_use]
pub fn rank(state: &State, context: &Context, settings: Settings) -> Ranking {
    let mut vms: Vec<_> = state
        .vms
        .iter()
        .filter(|vm| is_eligible(state, context, vm))
        .map(|vm| (sort_key(context, vm), vm))
        .collect();
    vms.sort();
    let local = vms.partition_point(|(key, _)| key.distance == 0);
    let far = vms.len() - local;
    let max_rows = settings.rows.max(1);
    let local_rows = local.min(max_rows.saturating_sub(far.min(settings.far)).max(1));
    let rows = vms[..local_rows]
        .iter()
        .chain(&vms[local..])
        .take(max_rows)
        .map(|(_, vm)| row(vm))
        .collect();
    Ranking {
        version: state.policy.version,
        ttl_ms: settings.ttl_ms,
        rows,
    }
}

/// Orders VMs by distance, then unsuspected before suspected ones. The hash is seeded with the
/// name of the local VM: each VM lists the VMs of a zone in a different order, so that truncated
/// rankings do not all contain the same ones.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    distance: u8,
    suspect: bool,
    hash: u64,
}

fn sort_key(context: &Context, vm: &Vm) -> SortKey {
    let seed = xxh3_64(context.vm.as_bytes());
    SortKey {
        distance: context.topology.distance(context.zone, vm.zone),
        suspect: vm.suspect,
        hash: xxh3_64_with_seed(vm.name.as_bytes(), seed),
    }
}

/// Whether callers may use `vm`: neither it nor its zone is drained, and it is not this VM during
/// its shutdown.
fn is_eligible(state: &State, context: &Context, vm: &Vm) -> bool {
    let stopping = state.stopping && *vm.name == *context.vm;
    let zone = &context.topology.zones[usize::from(vm.zone.0)].name;
    let drained = state.policy.has_drain(&Drain::Vm(vm.name.clone()))
        || state
            .policy
            .has_drain(&Drain::AvailabilityZone(zone.clone()));
    !stopping && !drained
}

fn row(vm: &Vm) -> RankedVm {
    RankedVm {
        vm: vm.name.clone(),
        zone: vm.zone,
        address: vm.callers,
        // A VM without free slots is still listed, with weight 1, as its count may be outdated.
        weight: if vm.suspect { 1 } else { vm.free.max(1) },
    }
}
