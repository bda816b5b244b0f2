//! Requests charged with the loss of upstreams, counted over the whole fleet.

use {
    super::state::Catalog,
    crate::{
        ledger::Fingerprint,
        poison::{Charge, Process},
    },
};

/// Charged requests that are retained; the one charged least recently is removed first.
const MAX_CHARGED: usize = 1_024;
/// Losses that are retained for one request.
const MAX_LOSSES: usize = 8;

/// Adds charges. Entry VMs that report the same lost process add one loss. Returns whether the catalogue changed.
pub(super) fn charge(catalog: &mut Catalog, charges: &[Charge], next: u64) -> bool {
    let mut changed = false;
    for charge in charges {
        let name = charge.fingerprint.hex();
        let process = Process {
            address: charge.upstream,
            born: charge.born,
        };
        let mut losses = catalog.charges.get(&name).cloned().unwrap_or_default();
        if losses.contains(&process) || losses.len() >= MAX_LOSSES {
            continue;
        }
        losses.push(process);
        changed |= catalog.charges.put(&name, losses, next);
        if catalog.charges.rows().len() > MAX_CHARGED {
            let rows = catalog.charges.rows().iter();
            let oldest = rows.min_by_key(|row| row.revision);
            if let Some(oldest) = oldest.map(|row| row.name.clone()) {
                catalog.charges.remove(&oldest, next);
            }
        }
    }
    changed
}

/// Removes the charges of one request, or of all, except those changed after revision `base`. Returns whether
/// the catalogue changed.
pub(super) fn lift(
    catalog: &mut Catalog,
    fingerprint: Option<Fingerprint>,
    base: Option<u64>,
    next: u64,
) -> bool {
    let name = fingerprint.map(Fingerprint::hex);
    let rows = catalog.charges.rows().iter();
    let lifted: Vec<String> = rows
        .filter(|row| name.as_ref().is_none_or(|name| row.name == *name))
        .filter(|row| base.is_none_or(|base| row.revision <= base))
        .map(|row| row.name.clone())
        .collect();
    for name in &lifted {
        catalog.charges.remove(name, next);
    }
    !lifted.is_empty()
}
