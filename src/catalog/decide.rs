//! Applies an order to the catalogue. Deterministic, without I/O or clock.

use {
    super::{
        configure,
        messages::{Order, Upstream},
        state::{Catalog, MOST_LEFT},
    },
    crate::policy::{Accepted, Rejection},
};

/// Applies `order`, or refuses it and changes nothing. An order that says nothing new changes nothing.
///
/// # Errors
/// Another version is in force, or the change is invalid.
///
/// ```
/// use siskinstep::catalog::{self, Catalog, Order};
/// let mut catalog = Catalog::default();
/// let order = Order::Evacuate { zone: "north-a".into(), on: true };
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
        Order::Leave { id, born, heard } => leave(catalog, &id, born, heard, next),
        Order::Forget { silent } => {
            let mut changed = false;
            for (id, born) in silent {
                let same = catalog
                    .upstreams
                    .get(&id)
                    .is_some_and(|row| row.born == born);
                changed |= same && catalog.upstreams.remove(&id, next);
            }
            changed
        }
        Order::Evacuate { zone, on: true } => catalog.emptied.put(&zone, (), next),
        Order::Evacuate { zone, on: false } => catalog.emptied.remove(&zone, next),
    };
    if changed {
        catalog.revision = next;
    }
    Ok(Accepted {
        version: catalog.revision,
    })
}

/// Whether a report of `id` says nothing that counts: it is late, or of an incarnation that is over.
#[must_use]
pub fn is_stale(catalog: &Catalog, id: &str, upstream: &Upstream) -> bool {
    let born = upstream.born;
    let left = |row: &(String, u64)| row.0 == id && row.1 >= born;
    if catalog.left.iter().any(left) {
        return true;
    }
    if let Some(known) = catalog.upstreams.get(id)
        && (known.born, known.seq) >= (born, upstream.seq)
    {
        return true;
    }
    // A younger upstream at the address proves that this one is gone.
    let mut rows = catalog.upstreams.rows().iter();
    rows.any(|row| row.name != id && row.value.address == upstream.address && row.value.born > born)
}

/// Whether a report changes what entry VMs are to do.
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
    let Some(known) = catalog.upstreams.get(id) else {
        return true;
    };
    let was = Upstream {
        seq: upstream.seq,
        cold_ms: upstream.cold_ms,
        ..known.clone()
    };
    was != *upstream || (known.cold_ms > 0) != (upstream.cold_ms > 0)
}

fn report(catalog: &mut Catalog, id: &str, upstream: Upstream, next: u64) -> bool {
    if is_stale(catalog, id, &upstream) {
        return false;
    }
    let same_place = catalog.upstreams.rows().iter();
    let replaced: Vec<String> = same_place
        .filter(|row| row.name != id && row.value.address == upstream.address)
        .map(|row| row.name.clone())
        .collect();
    for name in replaced {
        catalog.upstreams.remove(&name, next);
    }
    catalog.upstreams.put(id, upstream, next)
}

fn leave(
    catalog: &mut Catalog,
    id: &str,
    born: Option<u64>,
    heard: Option<u64>,
    next: u64,
) -> bool {
    let known = catalog.upstreams.get(id).map(|row| row.born);
    // By its own word, or the newest that anybody knows of.
    let over = born.or(known.max(heard));
    let Some(over) = over else {
        return false;
    };
    if !catalog.left.iter().any(|row| row.0 == id && row.1 >= over) {
        catalog.left.push((id.to_owned(), over));
    }
    if catalog.left.len() > MOST_LEFT {
        catalog.left.remove(0);
    }
    known.is_some_and(|known| known <= over) && catalog.upstreams.remove(id, next)
}
