//! Applies an order to the catalogue. Deterministic, without I/O or clock.

use {
    super::{
        charges, configure,
        messages::{Order, Upstream},
        state::{Catalog, MAX_DEREGISTERED},
    },
    crate::policy::{Accepted, Rejection},
};

/// Applies `order`, or rejects it without a change. A report or a removal that is stale, and a configuration
/// that was accepted before, are accepted without a change of the revision.
///
/// # Errors
/// The base version is not the current one, a later evacuation order was accepted, or the configuration
/// change is invalid.
///
/// ```
/// use siskinstep::catalog::{self, Catalog, Order};
/// let mut catalog = Catalog::default();
/// let order = Order::Evacuate { zone: "north-a".into(), on: true, base: None };
/// assert_eq!(catalog::apply(&mut catalog, order).unwrap().version, 1);
/// assert!(catalog.emptied.get("north-a").is_some());
/// ```
pub fn apply(catalog: &mut Catalog, order: Order) -> Result<Accepted, Rejection> {
    let next = catalog.revision + 1;
    let changed = match order {
        Order::Configure {
            base,
            version,
            identity,
            edit,
        } => configure::apply(catalog, (base, version), identity, edit)?,
        Order::Report { id, upstream } => report(catalog, &id, upstream, next),
        Order::Leave { id, born, heard } => deregister(catalog, &id, born, heard, next),
        Order::Forget { silent } => {
            let mut changed = false;
            for (id, born) in silent {
                changed |= forget(catalog, &id, born, next);
            }
            changed
        }
        Order::Charge { charges } => charges::charge(catalog, &charges, next),
        Order::Lift { fingerprint, base } => charges::lift(catalog, fingerprint, base, next),
        Order::Evacuate { zone, on, base } => evacuate(catalog, &zone, on, base, next)?,
    };
    if changed {
        catalog.revision = next;
    }
    Ok(Accepted {
        version: catalog.revision,
    })
}

/// Whether a report names a service that is not in the configuration, and the name or the address of an upstream of
/// one that is. It is of another writer, or of an upstream that starts before its service is configured, and then it
/// is repeated.
#[must_use]
pub fn is_foreign(catalog: &Catalog, id: &str, upstream: &Upstream) -> bool {
    let is_configured = |service: &str| catalog.services.get(service).is_some();
    let mut rows = catalog.upstreams.rows().iter();
    !is_configured(&upstream.service)
        && rows.any(|row| {
            let is_displaced = row.name == id || row.value.address == upstream.address;
            is_displaced && is_configured(&row.value.service)
        })
}

/// Whether a report of `id` is to be ignored: it is foreign or outdated, or its incarnation has ended.
#[must_use]
pub fn is_stale(catalog: &Catalog, id: &str, upstream: &Upstream) -> bool {
    if is_foreign(catalog, id, upstream) {
        return true;
    }
    let born = upstream.born;
    let is_deregistered = |row: &(String, u64)| row.0 == id && row.1 >= born;
    if catalog.left.iter().any(is_deregistered) {
        return true;
    }
    if let Some(current) = catalog.upstreams.get(id)
        && (current.born, current.seq) >= (born, upstream.seq)
    {
        return true;
    }
    // An upstream with a later start at the same address proves that this one has terminated.
    let mut rows = catalog.upstreams.rows().iter();
    rows.any(|row| row.name != id && row.value.address == upstream.address && row.value.born > born)
}

/// Whether a report changes anything that entry VMs act on. A new sequence number or remaining
/// slow-start time alone does not; the beginning or end of the slow start does.
///
/// ```
/// use siskinstep::catalog::{Catalog, Upstream, decide::has_changes};
/// let upstream = Upstream {
///     service: "lookup".into(), address: "10.0.0.1:80".parse().unwrap(), zone: "north-a".into(),
///     slots: 4, born: 0, seq: 1, leaving: false, cold_ms: 0,
/// };
/// assert!(has_changes(&Catalog::default(), "u-1", &upstream));
/// ```
#[must_use]
pub fn has_changes(catalog: &Catalog, id: &str, upstream: &Upstream) -> bool {
    if is_stale(catalog, id, upstream) {
        return false;
    }
    let Some(current) = catalog.upstreams.get(id) else {
        return true;
    };
    let before = Upstream {
        seq: upstream.seq,
        cold_ms: upstream.cold_ms,
        ..current.clone()
    };
    before != *upstream || (current.cold_ms > 0) != (upstream.cold_ms > 0)
}

fn report(catalog: &mut Catalog, id: &str, upstream: Upstream, next: u64) -> bool {
    if is_stale(catalog, id, &upstream) {
        return false;
    }
    let rows = catalog.upstreams.rows().iter();
    let replaced: Vec<(String, u64)> = rows
        .filter(|row| row.name != id && row.value.address == upstream.address)
        .map(|row| (row.name.clone(), row.value.born))
        .collect();
    for (name, born) in replaced {
        // An upstream with a later start at its address proves that it has terminated.
        if born < upstream.born {
            record_end(catalog, &name, born);
        }
        catalog.upstreams.remove(&name, next);
    }
    catalog.upstreams.put(id, upstream, next)
}

/// Evacuates an availability zone or admits it again. The revision increases even if the zone is in that state
/// already, so that an order which was abandoned before this one can be recognised as older.
fn evacuate(
    catalog: &mut Catalog,
    zone: &str,
    on: bool,
    base: Option<u64>,
    next: u64,
) -> Result<bool, Rejection> {
    let orders = &mut catalog.evacuation_orders;
    match orders.binary_search_by(|row| row.0.as_str().cmp(zone)) {
        Ok(at) if base.is_some_and(|base| orders[at].1 > base) => {
            return Err(Rejection::Conflict {
                version: orders[at].1,
                winner: String::new(),
                command: String::new(),
            });
        }
        Ok(at) => orders[at].1 = next,
        Err(at) => orders.insert(at, (zone.to_owned(), next)),
    }
    if on {
        catalog.emptied.put(zone, (), next);
    } else {
        catalog.emptied.remove(zone, next);
    }
    Ok(true)
}

/// Removes a silent upstream. One that had reported that it leaves has ended: a report from before, which arrives
/// late, must not bring it back.
fn forget(catalog: &mut Catalog, id: &str, born: u64, next: u64) -> bool {
    let Some(row) = catalog.upstreams.get(id).filter(|row| row.born == born) else {
        return false;
    };
    if row.leaving {
        record_end(catalog, id, born);
    }
    catalog.upstreams.remove(id, next)
}

/// Records that the incarnation `born` of `id` and those before it have ended.
fn record_end(catalog: &mut Catalog, id: &str, born: u64) {
    let is_known = |row: &(String, u64)| row.0 == id && row.1 >= born;
    if !catalog.left.iter().any(is_known) {
        catalog.left.push((id.to_owned(), born));
    }
    if catalog.left.len() > MAX_DEREGISTERED {
        catalog.left.remove(0);
    }
}

fn deregister(
    catalog: &mut Catalog,
    id: &str,
    born: Option<u64>,
    last_reported: Option<u64>,
    next: u64,
) -> bool {
    let current = catalog.upstreams.get(id).map(|row| row.born);
    // The incarnation given by the upstream, otherwise the latest one that is known.
    let last = born.or(current.max(last_reported));
    let Some(last) = last else {
        return false;
    };
    record_end(catalog, id, last);
    current.is_some_and(|current| current <= last) && catalog.upstreams.remove(id, next)
}
