//! Applies a newer catalogue to the state.

use {
    super::{
        budget::RetryBudget,
        fleet::RecentMax,
        locality::Locality,
        pacing::RegionPacer,
        settings::Settings,
        state::{DISTANCES, MAX_PREFERRED, Pool, Rate, State, Upstream},
    },
    crate::{
        backpressure,
        balance::{Average, Estimate, Rankings},
        beacon::state::DISTANT_EXPIRY_MS,
        catalog::{self, Service, follow::CatalogView},
        clock::Micros,
        fairness,
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
/// Milliseconds for which an entry VM that is no longer listed may still serve: the expiry of heartbeats between
/// zones. A control VM that has just started lists all entry VMs within that time.
pub(super) const ENTRY_MEMORY_MS: u64 = DISTANT_EXPIRY_MS;

/// Replaces routes and entry VM counts, and updates workspaces, services and upstreams to match the catalogue. Returns
/// whether workspaces have changed, so that requests in progress must be identified again.
pub(super) fn apply(state: &mut State, followed: &CatalogView, now: Micros) -> bool {
    let catalog = &followed.catalog;
    let is_first = state.version == 0;
    if is_first {
        state.discovery_end = now.plus_millis(ENTRY_DISCOVERY_MS);
    }
    state.version = catalog.version;
    let limits = catalog.bounds();
    state.body_bytes = limits.map_or(u64::MAX, |limits| limits.body_bytes);
    state.index = Index::new(catalog);
    let has_new_workspaces = state
        .workspaces
        .apply(&catalog.workspaces, catalog.has_workspaces);
    record_entries(state, &followed.zones, now);
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
        remove_upstream(state, key);
    }
    let is_listed = |id: &str| catalog.upstreams.get(id).is_some();
    backpressure::forget(&mut state.pressure, is_listed, now);
    for row in catalog.upstreams.rows() {
        let zone = &row.value.zone;
        let evacuation = Evacuation {
            is_on: catalog.emptied.get(zone).is_some(),
            // This VM may have started right after it was taken back.
            was_on: is_first && catalog.emptied.was_removed(zone),
        };
        apply_upstream(state, &row.name, &row.value, evacuation, now);
    }
    let mut pools = std::mem::take(&mut state.pools);
    pools.retain(|name, pool| {
        let mut upstreams: [Vec<UpstreamKey>; DISTANCES] = Default::default();
        pool.most_slots = 0;
        for (key, row) in state.upstreams.iter().filter(|row| row.1.service == *name) {
            upstreams[usize::from(row.distance)].push(key);
            pool.most_slots = pool.most_slots.max(row.slots);
        }
        if pool.upstreams != upstreams {
            pool.upstreams = upstreams;
            pool.rankings.clear();
        }
        true
    });
    state.pools = pools;
    has_new_workspaces
}

/// Records the number of entry VMs in each zone.
fn record_entries(state: &mut State, zones: &[(String, u32)], now: Micros) {
    for (zone, _) in zones {
        if state.entry_vms.get(zone).is_none() {
            state.entry_vms.insert(zone.clone(), RecentMax::default());
        }
    }
    let listed = |zone: &str| {
        zones
            .iter()
            .find(|row| row.0 == zone)
            .map_or(0, |row| row.1)
    };
    state.entry_vms.retain(|zone, count| {
        count.record(listed(zone), ENTRY_MEMORY_MS, now);
        count.read(now) > 0
    });
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
        upstreams: Default::default(),
        most_slots: 0,
        rankings: Rankings::default(),
        waiting: fairness::Queue::default(),
        cached_us: INITIAL_WORK_US,
        uncached_us: [[INITIAL_WORK_US; MAX_PREFERRED]; DISTANCES],
        work_us: [INITIAL_WORK_US; DISTANCES],
        average_load: [Average::default(); DISTANCES],
        completions: Rate::default(),
        budget: RetryBudget::new(settings.retry_ms),
        pacer: RegionPacer::new(settings.move_permille, settings.move_ms),
        locality: Locality::default(),
    }
}

/// Removes an upstream from the arena.
fn remove_upstream(state: &mut State, key: UpstreamKey) {
    if let Some(row) = state.upstreams.remove(key) {
        backpressure::set_unlisted(&mut state.pressure, key, &row.id, row.born);
    }
}

/// State of the evacuation of an upstream's zone.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    is_on: bool,
    /// Whether it may have been taken back a moment ago.
    was_on: bool,
}

fn apply_upstream(
    state: &mut State,
    id: &str,
    row: &catalog::Upstream,
    evacuation: Evacuation,
    now: Micros,
) {
    let was_evacuated = evacuation.was_on;
    let has_left = backpressure::has_left(&state.pressure, id, row.born);
    let eligible = !row.leaving && !evacuation.is_on && !has_left;
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
        // After an evacuation of its zone, the upstream's caches may be cold, also where a slow start is active.
        let is_readmitted = !existing.eligible && eligible;
        let readmitted_ms = if is_readmitted { cold_ms.1 } else { 0 };
        let renewed_ms = if existing.seq == row.seq {
            0
        } else {
            row.cold_ms
        };
        let remaining_ms = readmitted_ms.max(renewed_ms);
        if remaining_ms > 0 {
            existing.extend_slow_start(remaining_ms, now);
        }
        existing.seq = row.seq;
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
    let mut upstream = Upstream {
        id: Arc::clone(&id),
        service: row.service.as_str().into(),
        zone: row.zone.as_str().into(),
        distance,
        address: row.address,
        slots: row.slots,
        born: row.born,
        seq: row.seq,
        eligible,
        in_flight_count: 0,
        reported: Estimate::default(),
        slowness: (1.0, now),
        failure_rate: 0.0,
        failures: 0,
        backoff_until: Micros(0),
        slow_start: None,
        recent_keys: Sorted::default(),
    };
    let remaining_ms = row.cold_ms.max(if was_evacuated { cold_ms.1 } else { 0 });
    if remaining_ms > 0 {
        upstream.extend_slow_start(remaining_ms, now);
    }
    if let Some(previous) = state.ids.get(&id).copied() {
        remove_upstream(state, previous);
    }
    let key = state.upstreams.insert(upstream);
    backpressure::set_listed(&mut state.pressure, key, &id, row.born);
    state.ids.insert(id, key);
}
