//! Selects the upstream for a request.
//!
//! Work takes much less time where the data of the request's affinity key is cached. Requests with one affinity
//! key therefore go to few upstreams, the same from every entry VM (rendezvous hashing): the first ones of
//! the local zone, of the region and of other regions. The nearest of these is selected whose response is
//! expected in time: a short wait where the data is cached is better than a slow request elsewhere, which would
//! also evict other keys' data there.

use {
    super::{
        catalog::ENTRY_MEMORY_MS,
        fleet::RecentMax,
        state::{Basis, DISTANCES, InFlight, MAX_PREFERRED, Pool, SlowStart, State, Upstream},
    },
    crate::{backpressure, clock::Micros, keys::UpstreamKey},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Capacity of a cold upstream's token bucket, in requests.
const SLOW_START_BURST: f64 = 1.0;
/// Consecutive failures from which an upstream is considered unavailable: it has then failed for over a
/// second.
const UNAVAILABLE_FAILURES: u32 = 4;
/// Multiple of the latency objective within which a response from another region is accepted to keep up the
/// remote share: it misses the objective, but arrives well within the timeouts of callers, which are at
/// least four times the objective.
const MAX_REMOTE_LATENESS: f64 = 2.0;
/// Milli-units per unit: `cold_rate` is in thousandths of a request per second.
const MILLI: f64 = 1_000.0;
/// Preferred upstreams of an affinity key, by distance: two in the local zone, for when the first is full.
/// With more, an upstream would serve more keys than it can cache, and all requests would be slow.
const PREFERRED_BY_DISTANCE: [usize; DISTANCES] = [2, 1, 1];

/// Whether `upstream` may be sent `in_flight` at all.
fn may_serve(
    state: &State,
    in_flight: &InFlight,
    key: UpstreamKey,
    upstream: &Upstream,
    now: Micros,
) -> bool {
    let is_tried = in_flight.tried.contains(&key) && in_flight.retry_same != Some(key);
    if !upstream.eligible || now < upstream.backoff_until || is_tried {
        return false;
    }
    backpressure::may_send(&state.pressure, key, now) && is_in_homes(state, in_flight, upstream)
}

/// Whether `upstream` is in a region that may serve `in_flight`.
pub(super) fn is_in_homes(state: &State, in_flight: &InFlight, upstream: &Upstream) -> bool {
    let homes = &in_flight.route.homes;
    let region = state.regions.get(&*upstream.zone);
    homes.is_empty() || region.is_some_and(|region| homes.iter().any(|home| **home == **region))
}

/// Requests per second that this VM may send to a cold upstream: its share of the limit for all entry VMs.
/// While the upstream's zone has entry VMs, only these send.
fn slow_start_rate(state: &State, pool: &Pool, upstream: &Upstream, now: Micros) -> f64 {
    // Before the other entry VMs are known, each VM would use the total limit.
    if now < state.discovery_end {
        return 0.0;
    }
    #[allow(
        clippy::cast_precision_loss,
        reason = "configured rates are far below 2^53"
    )]
    let total_rate = pool.service.cold_rate as f64 / MILLI;
    let zone_entries = state.recent_entry_count_in(&upstream.zone, now);
    if zone_entries > 0 && upstream.distance > 0 {
        return 0.0;
    }
    if zone_entries > 0 {
        return total_rate / f64::from(zone_entries);
    }
    // Heartbeats between zones are rarer, so that a distant zone may have entry VMs that are not known yet.
    if upstream.distance > 0 && now < state.discovery_end.plus_millis(ENTRY_MEMORY_MS) {
        return 0.0;
    }
    total_rate / f64::from(state.recent_entry_count(now))
}

/// Tokens of a cold upstream, or `None` if it is warm.
fn slow_start_tokens(state: &State, pool: &Pool, upstream: &Upstream, now: Micros) -> Option<f64> {
    let slow_start = upstream.slow_start.filter(|row| now < row.until)?;
    let earned =
        now.since(slow_start.updated).as_secs_f64() * slow_start_rate(state, pool, upstream, now);
    Some((slow_start.tokens + earned).min(SLOW_START_BURST))
}

/// Rendezvous hashing score of an upstream for an affinity key; the highest is preferred.
fn rendezvous_score(upstream: &Upstream, key: u64) -> u64 {
    xxh3_64_with_seed(upstream.id.as_bytes(), key)
}

/// An upstream that may be sent a request now.
#[derive(Clone, Copy)]
struct Candidate {
    key: UpstreamKey,
    /// Rendezvous hashing score.
    score: u64,
    load: f64,
    /// Expected microseconds until the response.
    latency_us: f64,
    /// Expected microseconds of waiting at the upstream.
    wait_us: f64,
    /// Whether the key's data is assumed to be cached there.
    cached: bool,
}

/// Expected microseconds until the response of an upstream at affinity rank `rank`, and the part of them
/// spent waiting there; `cached` if the key's data is assumed to be cached there.
fn expected_latency(
    state: &State,
    pool: &Pool,
    upstream: &Upstream,
    (load, rank, cached): (f64, usize, bool),
    now: Micros,
) -> (f64, f64) {
    let distance = usize::from(upstream.distance);
    let uncached_us = pool.uncached_us[distance][rank].max(pool.cached_us);
    let work_us = if cached { pool.cached_us } else { uncached_us };
    let slots = f64::from(upstream.slots.max(1));
    let slowness = upstream.slowness(now);
    let wait_us = (load + 1.0 - slots).max(0.0) / slots * pool.work_us[distance] * slowness;
    // A failed attempt has to be repeated at another upstream.
    let retry_us = upstream.failure_rate * uncached_us;
    (
        state.connect_us[distance] + wait_us + work_us * slowness + retry_us,
        wait_us,
    )
}

/// Share of the region's slots that are at ineligible or repeatedly failing upstreams. A single failure is
/// not counted: full upstreams refuse connections too, and pacing covers that.
fn lost_share(state: &State, pool: &Pool) -> f64 {
    let (mut total, mut lost) = (0.0, 0.0);
    for key in &pool.upstreams {
        let regional = state.upstreams.get(*key).filter(|row| row.distance < 2);
        let Some(upstream) = regional else { continue };
        let slots = f64::from(upstream.slots);
        total += slots;
        if !upstream.eligible || upstream.failures >= UNAVAILABLE_FAILURES {
            lost += slots;
        }
    }
    lost / f64::max(total, 1.0)
}

/// Fraction of the region's requests that its upstreams are expected to serve, before any request is sent:
/// the region's share of all slots divided by its share of the entry VMs, which are located near
/// callers. Thus every slot gets its fair share of the load, and requests that can be served locally return
/// later. Exceeds 1 if there is surplus capacity.
pub(super) fn capacity_ratio(state: &State, pool: &Pool) -> f64 {
    let (mut total, mut regional) = (0.0, 0.0);
    for key in &pool.upstreams {
        let eligible = state.upstreams.get(*key).filter(|row| row.eligible);
        let Some(upstream) = eligible else { continue };
        let slots = f64::from(upstream.slots);
        total += slots;
        if upstream.distance < 2 {
            regional += slots;
        }
    }
    let in_region = |row: &&(String, RecentMax)| {
        let region = state.regions.get(row.0.as_str());
        region.is_some_and(|region| *region == state.region)
    };
    let regional_entries: u32 = state
        .entry_vms
        .rows()
        .iter()
        .filter(in_region)
        .map(|row| row.1.current())
        .sum();
    let demand = f64::from(regional_entries.max(1)) / f64::from(state.entry_count());
    regional / f64::max(total, 1.0) / demand
}

/// Upstreams that may be sent a request now.
#[derive(Default)]
struct Candidates {
    /// Preferred upstreams of the affinity key, by distance and rank.
    preferred: [[Option<Candidate>; MAX_PREFERRED]; DISTANCES],
    /// The nearest upstream with a free slot, and the least loaded of these.
    spare: Option<(u8, Candidate)>,
}

/// Collects the upstreams that may be sent `in_flight` now, with their estimated loads.
fn collect(state: &State, pool: &Pool, in_flight: &InFlight, now: Micros) -> Candidates {
    let mut candidates = Candidates::default();
    // Requests whose homes exclude this region are not paced.
    let homes = &in_flight.route.homes;
    let is_homed_elsewhere = !homes.is_empty() && !homes.iter().any(|home| **home == *state.region);
    let is_unlimited = pool.pacer.is_first_window() && capacity_ratio(state, pool) < 1.0;
    let unlimited = if is_unlimited {
        1.0
    } else {
        lost_share(state, pool)
    };
    let may_leave = pool.pacer.may_leave(unlimited, now);
    for key in &pool.upstreams {
        let Some(upstream) = state.upstreams.get(*key) else {
            continue;
        };
        if !may_serve(state, in_flight, *key, upstream, now) {
            continue;
        }
        if upstream.distance == 2 && !may_leave && !is_homed_elsewhere {
            continue;
        }
        let tokens = slow_start_tokens(state, pool, upstream, now);
        if tokens.is_some_and(|tokens| tokens < 1.0) {
            continue;
        }
        let distance = usize::from(upstream.distance);
        let load = upstream.load(
            pool.average_load[distance],
            now,
            state.settings.load_decay_ms,
        );
        let candidate = Candidate {
            key: *key,
            score: rendezvous_score(upstream, in_flight.affinity),
            load,
            latency_us: 0.0,
            wait_us: 0.0,
            cached: false,
        };
        if load < f64::from(upstream.slots) {
            let is_better = |(distance, other): &(u8, Candidate)| {
                (upstream.distance, load) < (*distance, other.load)
            };
            if candidates.spare.as_ref().is_none_or(is_better) {
                candidates.spare = Some((upstream.distance, candidate));
            }
        }
        insert(
            &mut candidates.preferred[distance][..PREFERRED_BY_DISTANCE[distance]],
            candidate,
        );
    }
    candidates
}

/// Selects the upstream for `in_flight`, if it is worth sending now: the nearest whose response is expected in
/// time, otherwise the first without a wait. A request that misses its objective anyway must not evict
/// cached data elsewhere.
pub(super) fn choose(
    state: &State,
    pool: &Pool,
    in_flight: &InFlight,
    now: Micros,
) -> Option<(UpstreamKey, Basis)> {
    let elapsed_us = now.since(in_flight.arrived).as_secs_f64() * 1e6;
    #[allow(clippy::cast_precision_loss, reason = "far below 2^53 us")]
    let objective_us = in_flight.route.objective_ms as f64 * MILLI - elapsed_us;
    let mut candidates = collect(state, pool, in_flight, now);
    let must_leave = pool.pacer.must_leave();
    let is_local = pool.locality.is_local(in_flight.affinity);
    let mut fallback: Option<(Candidate, usize)> = None;
    let mut best: Option<(Candidate, usize)> = None;
    for distance in pool
        .locality
        .distance_order(in_flight.affinity, must_leave, now)
    {
        for (rank, candidate) in candidates.preferred[distance].iter_mut().enumerate() {
            let Some(candidate) = candidate else { continue };
            let Some(upstream) = state.upstreams.get(candidate.key) else {
                continue;
            };
            candidate.cached = upstream.has_cached(in_flight.affinity, now);
            let assumed = (candidate.load, rank, candidate.cached);
            (candidate.latency_us, candidate.wait_us) =
                expected_latency(state, pool, upstream, assumed, now);
            let is_faster = |other: &Option<(Candidate, usize)>| {
                other.is_none_or(|(other, _)| candidate.latency_us < other.latency_us)
            };
            // The remote share must not drop abruptly because other regions are briefly full.
            let keeps_share = must_leave
                && distance == 2
                && candidate.latency_us <= MAX_REMOTE_LATENESS * objective_us;
            if (keeps_share || candidate.latency_us <= objective_us) && is_faster(&best) {
                best = Some((*candidate, rank));
            }
            if candidate.wait_us <= 0.0 && fallback.is_none() {
                fallback = Some((*candidate, rank));
            }
        }
        if best.is_some() {
            break;
        }
    }
    // Requests without an affinity key need no preferred upstream.
    let has_key =
        in_flight.route.affinity && candidates.preferred.iter().flatten().any(Option::is_some);
    let spare = candidates.spare.filter(|_| !has_key);
    let spare = spare.map(|(_, candidate)| (candidate, MAX_PREFERRED));
    let (candidate, rank) = best.or(fallback).or(spare)?;
    let upstream = state.upstreams.get(candidate.key)?;
    let basis = Basis {
        load: candidate.load,
        slots: upstream.slots,
        distance: upstream.distance,
        affinity_rank: rank,
        spilled: is_local && !must_leave && upstream.distance > 0,
        expects_wait: candidate.wait_us > 0.0,
        cached: candidate.cached,
    };
    Some((candidate.key, basis))
}

/// Keeps the candidates with the highest scores.
fn insert(ranking: &mut [Option<Candidate>], candidate: Candidate) {
    let mut next = Some(candidate);
    for entry in ranking {
        let is_better = match (&*entry, &next) {
            (Some(entry), Some(next)) => entry.score < next.score,
            (None, _) => true,
            (_, None) => return,
        };
        if is_better {
            std::mem::swap(entry, &mut next);
        }
    }
}

/// Records that a request is sent to `key`.
pub(super) fn record_sent(state: &mut State, key: UpstreamKey, now: Micros) {
    let Some(upstream) = state.upstreams.get(key) else {
        return;
    };
    let tokens = state
        .pools
        .get(&upstream.service)
        .and_then(|pool| slow_start_tokens(state, pool, upstream, now));
    let is_remote = upstream.distance == 2;
    let service = Arc::clone(&upstream.service);
    if let Some(upstream) = state.upstreams.get_mut(key) {
        upstream.in_flight_count += 1;
        if let (Some(slow_start), Some(tokens)) = (upstream.slow_start, tokens) {
            upstream.slow_start = Some(SlowStart {
                tokens: tokens - 1.0,
                updated: now,
                ..slow_start
            });
        }
    }
    if let Some(pool) = state.pools.get_mut(&service) {
        pool.pacer.record(is_remote);
    }
}
