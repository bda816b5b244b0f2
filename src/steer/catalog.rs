//! Takes a newer catalogue in.

use {
    super::{
        budget::Budget,
        moves::Moves,
        reach::Reach,
        settings::Settings,
        state::{DISTANCES, KEPT, Pool, Rate, State, Told, Upstream, Usual, Warming},
    },
    crate::{
        catalog::{self, Service, follow::CatalogView},
        clock::Micros,
        keys::UpstreamKey,
        routes::Index,
        sorted::Sorted,
    },
    std::sync::Arc,
};

/// Attempt time in microseconds that is believed before any was seen: a usual request of the web.
const FIRST_TOOK: f64 = 200_000.0;
/// Milliseconds after the first configuration in which the other entry VMs show themselves: two of their
/// beacons, and the way to here. After a loss of everything all of them start at the same moment.
const SETTLES_MS: u64 = 1_000;

/// Brings routes, services and upstreams up to the catalogue.
pub(super) fn adopt(state: &mut State, followed: &CatalogView, now: Micros) {
    let catalog = &followed.catalog;
    if state.version == 0 {
        state.settled = now.plus_millis(SETTLES_MS);
    }
    state.version = catalog.version;
    state.index = Index::new(catalog);
    let mut entries: Sorted<String, u32> = Sorted::default();
    for (zone, count) in followed.zones.iter() {
        entries.insert(zone.clone(), *count);
    }
    state.entries = entries;
    adopt_services(state, catalog);
    let gone: Vec<(Arc<str>, UpstreamKey)> = state
        .ids
        .rows()
        .iter()
        .filter(|(id, _)| catalog.upstreams.get(id).is_none())
        .cloned()
        .collect();
    for (id, key) in gone {
        state.ids.remove(&id);
        state.upstreams.remove(key);
    }
    for row in catalog.upstreams.rows() {
        let emptied = catalog.emptied.get(&row.value.zone).is_some();
        adopt_upstream(state, &row.name, &row.value, emptied, now);
    }
    let mut pools = std::mem::take(&mut state.pools);
    pools.retain(|name, pool| {
        let of = |(key, row): (UpstreamKey, &Upstream)| (row.service == *name).then_some(key);
        pool.upstreams = state.upstreams.iter().filter_map(of).collect();
        true
    });
    state.pools = pools;
}

fn adopt_services(state: &mut State, catalog: &catalog::Catalog) {
    for row in catalog.services.rows() {
        let known = state.pools.get_mut(row.name.as_str());
        match known {
            Some(pool) if pool.service == row.value => {}
            Some(pool) => pool.service = row.value.clone(),
            None => {
                let pool = new_pool(row.value.clone(), &state.settings);
                state.pools.insert(row.name.as_str().into(), pool);
            }
        }
    }
    // A service that is gone stays while requests wait for it; they find no upstream.
    state
        .pools
        .retain(|name, pool| catalog.services.get(name).is_some() || !pool.waiting.is_empty());
}

fn new_pool(service: Service, settings: &Settings) -> Pool {
    Pool {
        service,
        upstreams: Vec::new(),
        waiting: Vec::new(),
        known: FIRST_TOOK,
        unsure: [[FIRST_TOOK; KEPT]; DISTANCES],
        work: [FIRST_TOOK; DISTANCES],
        usual: [Usual::default(); DISTANCES],
        ends: Rate::default(),
        budget: Budget::new(settings.retry_ms),
        moves: Moves::new(settings.move_permille, settings.move_ms),
        reach: Reach::default(),
    }
}

fn adopt_upstream(
    state: &mut State,
    id: &str,
    row: &catalog::Upstream,
    emptied: bool,
    now: Micros,
) {
    let open = !row.leaving && !emptied;
    let cold_ms = {
        let service = state.pools.get(row.service.as_str());
        let whole = service.map_or(0, |pool| pool.service.cold_ms);
        (row.cold_ms, whole)
    };
    let known = state.ids.get(id).copied();
    let known = known.and_then(|key| state.upstreams.get_mut(key));
    if let Some(known) = known
        && known.born == row.born
        && known.address == row.address
        && *known.service == *row.service
    {
        // Back from an emptied zone, it may have lost what made it fast.
        let warms = if !known.open && open {
            cold_ms.1
        } else {
            row.cold_ms
        };
        if warms > 0 && known.warming.is_none_or(|row| now >= row.until) {
            known.warming = Some(Warming {
                until: now.plus_millis(warms),
                credit: 0.0,
                at: now,
            });
        }
        known.open = open;
        known.slots = row.slots;
        return;
    }
    let region = state.regions.get(row.zone.as_str()).cloned();
    let distance = if *row.zone == *state.zone {
        0
    } else if region.is_some_and(|region| region == state.region) {
        1
    } else {
        2
    };
    let id: Arc<str> = id.into();
    let upstream = Upstream {
        id: Arc::clone(&id),
        service: row.service.as_str().into(),
        zone: row.zone.as_str().into(),
        distance,
        address: row.address,
        slots: row.slots,
        born: row.born,
        open,
        own: 0,
        told: Told::default(),
        slow: (1.0, now),
        bad: 0.0,
        fails: 0,
        rests: Micros(0),
        warming: (row.cold_ms > 0).then_some(Warming {
            until: now.plus_millis(row.cold_ms),
            credit: 0.0,
            at: now,
        }),
        keys: Sorted::default(),
    };
    if let Some(old) = state.ids.get(&id).copied() {
        state.upstreams.remove(old);
    }
    let key = state.upstreams.insert(upstream);
    state.ids.insert(id, key);
}
