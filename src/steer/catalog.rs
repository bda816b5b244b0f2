//! Applies a newer catalogue to the state.

use {
    super::{
        budget::RetryBudget,
        locality::Locality,
        pacing::RegionPacer,
        settings::Settings,
        state::{
            AverageLoad, DISTANCES, MAX_PREFERRED, Pool, Rate, ReportedLoad, SlowStart, State,
            Upstream,
        },
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

/// Work time in microseconds that is assumed before the first measurement: that of a usual web request.
const INITIAL_WORK_US: f64 = 200_000.0;
/// Milliseconds after the first configuration in which the other entry VMs are discovered: two of their
/// beacons and the network latency. After an outage of all VMs they all start at the same time.
const ENTRY_DISCOVERY_MS: u64 = 1_000;

/// Replaces routes and entry VM counts, and updates services and upstreams to match the catalogue.
pub(super) fn apply(state: &mut State, followed: &CatalogView, now: Micros) {
    let catalog = &followed.catalog;
    if state.version == 0 {
        state.discovery_end = now.plus_millis(ENTRY_DISCOVERY_MS);
    }
    state.version = catalog.version;
    state.index = Index::new(catalog);
    let mut entry_vms: Sorted<String, u32> = Sorted::default();
    for (zone, count) in followed.zones.iter() {
        entry_vms.insert(zone.clone(), *count);
    }
    state.entry_vms = entry_vms;
    let count = state.entry_count();
    state.slack_share.record_entries(count, now);
    apply_services(state, catalog);
    let removed: Vec<(Arc<str>, UpstreamKey)> = state
        .ids
        .rows()
        .iter()
        .filter(|(id, _)| catalog.upstreams.get(id).is_none())
        .cloned()
        .collect();
    for (id, key) in removed {
        state.ids.remove(&id);
        state.upstreams.remove(key);
    }
    for row in catalog.upstreams.rows() {
        let evacuated = catalog.emptied.get(&row.value.zone).is_some();
        apply_upstream(state, &row.name, &row.value, evacuated, now);
    }
    let mut pools = std::mem::take(&mut state.pools);
    pools.retain(|name, pool| {
        let key_of = |(key, row): (UpstreamKey, &Upstream)| (row.service == *name).then_some(key);
        pool.upstreams = state.upstreams.iter().filter_map(key_of).collect();
        true
    });
    state.pools = pools;
}

fn apply_services(state: &mut State, catalog: &catalog::Catalog) {
    for row in catalog.services.rows() {
        let existing = state.pools.get_mut(row.name.as_str());
        match existing {
            Some(pool) if pool.service == row.value => {}
            Some(pool) => pool.service = row.value.clone(),
            None => {
                let pool = new_pool(row.value.clone(), &state.settings);
                state.pools.insert(row.name.as_str().into(), pool);
            }
        }
    }
    // A deleted service stays while requests wait for it; they find no upstream.
    state
        .pools
        .retain(|name, pool| catalog.services.get(name).is_some() || !pool.waiting.is_empty());
}

fn new_pool(service: Service, settings: &Settings) -> Pool {
    Pool {
        service,
        upstreams: Vec::new(),
        waiting: Vec::new(),
        cached_us: INITIAL_WORK_US,
        uncached_us: [[INITIAL_WORK_US; MAX_PREFERRED]; DISTANCES],
        work_us: [INITIAL_WORK_US; DISTANCES],
        average_load: [AverageLoad::default(); DISTANCES],
        completions: Rate::default(),
        budget: RetryBudget::new(settings.retry_ms),
        pacer: RegionPacer::new(settings.move_permille, settings.move_ms),
        locality: Locality::default(),
    }
}

fn apply_upstream(
    state: &mut State,
    id: &str,
    row: &catalog::Upstream,
    evacuated: bool,
    now: Micros,
) {
    let eligible = !row.leaving && !evacuated;
    let cold_ms = {
        let service = state.pools.get(row.service.as_str());
        let full_ms = service.map_or(0, |pool| pool.service.cold_ms);
        (row.cold_ms, full_ms)
    };
    let existing = state.ids.get(id).copied();
    let existing = existing.and_then(|key| state.upstreams.get_mut(key));
    if let Some(existing) = existing
        && existing.born == row.born
        && existing.address == row.address
        && *existing.service == *row.service
    {
        // After an evacuation of its zone, the upstream's caches may be cold.
        let remaining_ms = if !existing.eligible && eligible {
            cold_ms.1
        } else {
            row.cold_ms
        };
        if remaining_ms > 0 && existing.slow_start.is_none_or(|row| now >= row.until) {
            existing.slow_start = Some(SlowStart {
                until: now.plus_millis(remaining_ms),
                tokens: 0.0,
                updated: now,
            });
        }
        existing.eligible = eligible;
        existing.slots = row.slots;
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
        eligible,
        in_flight_count: 0,
        reported: ReportedLoad::default(),
        slowness: (1.0, now),
        failure_rate: 0.0,
        failures: 0,
        backoff_until: Micros(0),
        slow_start: (row.cold_ms > 0).then_some(SlowStart {
            until: now.plus_millis(row.cold_ms),
            tokens: 0.0,
            updated: now,
        }),
        recent_keys: Sorted::default(),
    };
    if let Some(previous) = state.ids.get(&id).copied() {
        state.upstreams.remove(previous);
    }
    let key = state.upstreams.insert(upstream);
    state.ids.insert(id, key);
}
