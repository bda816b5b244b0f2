//! Selects the upstream for a request.
//!
//! Work takes much less time where the data of the request's affinity key is cached. Requests with one affinity
//! key therefore go to few upstreams, the same from every entry VM (rendezvous hashing): the first ones of
//! the local zone, of the region and of other regions. The nearest of these is selected whose response is
//! expected in time: a short wait where the data is cached is better than a slow request elsewhere, which would
//! also evict other keys' data there.

use {
    super::{
        bodies,
        catalog::ENTRY_MEMORY_MS,
        fleet::RecentMax,
        state::{
            Basis, DISTANCES, InFlight, MAX_PREFERRED, Pool, Preference, SlowStart, State, Upstream,
        },
    },
    crate::{
        backpressure,
        balance::{Expected, Ranking, decide as balance},
        clock::Micros,
        keys::{InFlightKey, UpstreamKey},
    },
    slotmap::SlotMap,
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
    if !upstream.eligible
        || now < upstream.backoff_until
        || is_tried
        || !bodies::has_room(state, in_flight, key)
    {
        return false;
    }
    backpressure::may_send(&state.pressure, key, now) && is_in_homes(state, in_flight, upstream)
}

/// Whether `upstream` is in a region that may serve `in_flight`.
pub(super) fn is_in_homes(state: &State, in_flight: &InFlight, upstream: &Upstream) -> bool {
    let region = state.regions.get(&*upstream.zone);
    in_flight.may_enter(region, &state.workspaces)
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
    expected: Expected,
    /// Expected microseconds until the response.
    latency_us: f64,
    /// The same for a load drawn from its distribution.
    drawn_us: f64,
    /// Microseconds of waiting at the upstream for that load.
    drawn_wait_us: f64,
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
    let slowness = upstream.present_slowness(now);
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
    for key in pool.keys() {
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
    for key in pool.keys() {
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

/// Whether the local region may not serve `in_flight`.
fn has_remote_home(state: &State, in_flight: &InFlight) -> bool {
    !in_flight.may_enter(Some(&state.region), &state.workspaces)
}

/// Whether `in_flight` may be sent to another region.
fn may_leave(state: &State, pool: &Pool, in_flight: &InFlight, now: Micros) -> bool {
    // Requests that this region may not serve are not paced.
    if has_remote_home(state, in_flight) {
        return true;
    }
    let is_unlimited = pool.pacer.is_first_window() && capacity_ratio(state, pool) < 1.0;
    let unlimited = if is_unlimited {
        1.0
    } else {
        lost_share(state, pool)
    };
    pool.pacer.may_leave(unlimited, now)
}

/// Keeps the upstreams that the affinity key of a request prefers, so that they are not searched again.
pub(super) fn rank_upstreams(state: &mut State, key: InFlightKey) {
    let Some(in_flight) = state.in_flight.get(key).filter(|row| !row.is_keyless) else {
        return;
    };
    let Some(pool) = state.pools.get_mut(&in_flight.service) else {
        return;
    };
    let affinity = in_flight.affinity;
    if pool.rankings.get(affinity).is_none() {
        let rankings = [0, 1, 2].map(|at| rank(&state.upstreams, &pool.upstreams[at], affinity));
        pool.rankings.insert(affinity, rankings);
    }
}

fn rank(rows: &SlotMap<UpstreamKey, Upstream>, keys: &[UpstreamKey], affinity: u64) -> Ranking {
    let score = |key: &UpstreamKey| Some((rendezvous_score(rows.get(*key)?, affinity), *key));
    Ranking::new(keys.iter().filter_map(score))
}

/// The upstream, if it may be sent `in_flight` now, with its expected load.
fn candidate<'a>(
    state: &'a State,
    pool: &Pool,
    in_flight: &InFlight,
    key: UpstreamKey,
    now: Micros,
) -> Option<(Candidate, &'a Upstream)> {
    let upstream = state.upstreams.get(key)?;
    if !may_serve(state, in_flight, key, upstream, now) {
        return None;
    }
    let tokens = slow_start_tokens(state, pool, upstream, now);
    if tokens.is_some_and(|tokens| tokens < 1.0) {
        return None;
    }
    let peers = pool.average_load[usize::from(upstream.distance)];
    let candidate = Candidate {
        key,
        expected: upstream.expect(peers, now, state.settings.load_decay_ms),
        latency_us: 0.0,
        drawn_us: 0.0,
        drawn_wait_us: 0.0,
        wait_us: 0.0,
        cached: false,
    };
    Some((candidate, upstream))
}

/// The first upstreams at a distance that the affinity key prefers and that may be sent `in_flight` now.
fn preferred(
    state: &State,
    pool: &Pool,
    in_flight: &InFlight,
    distance: usize,
    now: Micros,
) -> Vec<Candidate> {
    let count = if has_remote_home(state, in_flight) {
        MAX_PREFERRED
    } else {
        PREFERRED_BY_DISTANCE[distance]
    };
    let accept = |key| candidate(state, pool, in_flight, key, now).map(|row| row.0);
    let rankings = pool.rankings.get(in_flight.affinity);
    if let Some(rows) = rankings.and_then(|rows| rows[distance].take(count, accept)) {
        return rows;
    }
    let score = |key: &UpstreamKey| {
        let (candidate, upstream) = candidate(state, pool, in_flight, *key, now)?;
        Some((rendezvous_score(upstream, in_flight.affinity), candidate))
    };
    let mut rows: Vec<(u64, Candidate)> =
        pool.upstreams[distance].iter().filter_map(score).collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.0));
    rows.into_iter().map(|row| row.1).take(count).collect()
}

/// The better of a few upstreams with a free slot among `keys`.
fn sampled(
    state: &State,
    pool: &Pool,
    in_flight: &InFlight,
    keys: &[UpstreamKey],
    now: Micros,
) -> Option<Candidate> {
    let accept = |index: usize| {
        let (candidate, upstream) = candidate(state, pool, in_flight, keys[index], now)?;
        let row = balance::Candidate {
            expected: candidate.expected,
            slots: upstream.slots,
            slowness: upstream.present_slowness(now),
        };
        (row.expected.load < f64::from(row.slots)).then_some(row)
    };
    let random = attempt_random(in_flight);
    let index = balance::select(keys.len(), pool.most_slots, accept, random)?;
    candidate(state, pool, in_flight, keys[index], now).map(|row| row.0)
}

/// The better of a few upstreams with a free slot, at the least distance that has one.
fn spare(state: &State, pool: &Pool, in_flight: &InFlight, now: Micros) -> Option<Candidate> {
    (0..DISTANCES).find_map(|distance| {
        if distance == 2 && !may_leave(state, pool, in_flight, now) {
            return None;
        }
        let has_room = |key: &&UpstreamKey| {
            candidate(state, pool, in_flight, **key, now)
                .is_some_and(|(row, upstream)| row.expected.load < f64::from(upstream.slots))
        };
        let keys = pool.upstreams[distance].iter().filter(has_room);
        let keys: Vec<UpstreamKey> = keys.copied().collect();
        let found = sampled(state, pool, in_flight, &keys, now);
        found.or_else(|| Some(candidate(state, pool, in_flight, *keys.first()?, now)?.0))
    })
}

/// Random number of the present attempt.
fn attempt_random(in_flight: &InFlight) -> u64 {
    in_flight
        .random
        .rotate_left(u32::try_from(in_flight.tried.len()).unwrap_or(0))
}

/// Selects the upstream for `in_flight`, if it is worth sending now: the nearest whose response is expected in
/// time, otherwise the first without a wait. A request that misses its objective anyway must not evict
/// cached data elsewhere. Among several in time at one distance, it is the first without a wait, otherwise the
/// fastest, for loads drawn from their distributions: entry VMs that are unsure whether the first one is full do not
/// all change to the second.
pub(super) fn choose(
    state: &State,
    pool: &Pool,
    in_flight: &InFlight,
    now: Micros,
) -> Option<(UpstreamKey, Basis)> {
    let elapsed_us = now.since(in_flight.arrived).as_secs_f64() * 1e6;
    #[allow(clippy::cast_precision_loss, reason = "far below 2^53 us")]
    let objective_us = in_flight.route.objective_ms as f64 * MILLI - elapsed_us;
    let is_remote_home = has_remote_home(state, in_flight);
    let must_leave = pool.pacer.must_leave() && !is_remote_home;
    let is_local = pool.locality.is_local(in_flight.affinity);
    let random = attempt_random(in_flight);
    let mut has_preferred = false;
    let mut fallback: Option<(Candidate, usize)> = None;
    let mut best: Option<(Candidate, usize)> = None;
    for distance in pool
        .locality
        .distance_order(in_flight.affinity, must_leave, now)
    {
        if distance == 2 && !may_leave(state, pool, in_flight, now) {
            continue;
        }
        let keys = &pool.upstreams[distance];
        let mut rows: Vec<Candidate> = Vec::new();
        if in_flight.is_keyless {
            rows.extend(sampled(state, pool, in_flight, keys, now));
        }
        if rows.is_empty() {
            rows = preferred(state, pool, in_flight, distance, now);
        }
        has_preferred |= !rows.is_empty();
        for (rank, candidate) in rows.iter_mut().enumerate() {
            let Some(upstream) = state.upstreams.get(candidate.key) else {
                continue;
            };
            candidate.cached = upstream.has_cached(in_flight.affinity, now);
            let latency = |load: f64| {
                let assumed = (load, rank, candidate.cached);
                expected_latency(state, pool, upstream, assumed, now)
            };
            let expected = candidate.expected;
            let drawn = expected.load
                + expected.variance.sqrt() * balance::deviation(random, u64::from(rank > 0));
            (candidate.latency_us, candidate.wait_us) = latency(expected.load);
            (candidate.drawn_us, candidate.drawn_wait_us) = latency(drawn);
            let is_faster = |other: &Option<(Candidate, usize)>| {
                other.is_none_or(|(other, _)| candidate.drawn_us < other.drawn_us)
            };
            // The remote share must not drop abruptly because other regions are briefly full.
            let keeps_share = must_leave
                && distance == 2
                && candidate.latency_us <= MAX_REMOTE_LATENESS * objective_us;
            // A key that alternates between its upstreams takes a place in the caches of both.
            let is_first_free = best.is_some_and(|(other, _)| other.drawn_wait_us <= 0.0);
            let in_time = keeps_share || candidate.latency_us <= objective_us;
            if in_time && !is_first_free && is_faster(&best) {
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
    let found = best.or(fallback);
    // Requests without an affinity key need no preferred upstream.
    let may_spare = found.is_none() && !(in_flight.route.affinity && has_preferred);
    let spare = may_spare.then(|| spare(state, pool, in_flight, now));
    let spare = spare.flatten().map(|row| (row, MAX_PREFERRED));
    let (candidate, rank) = found.or(spare)?;
    let upstream = state.upstreams.get(candidate.key)?;
    let preference = if is_remote_home {
        Preference::RemoteHome
    } else if is_local && !must_leave && upstream.distance > 0 {
        Preference::Spilled
    } else {
        Preference::Met
    };
    let basis = Basis {
        load: candidate.expected.load,
        slots: upstream.slots,
        distance: upstream.distance,
        affinity_rank: rank,
        preference,
        expects_wait: candidate.wait_us > 0.0,
        cached: candidate.cached,
    };
    Some((candidate.key, basis))
}

/// Records that a request is sent to `key`.
pub(super) fn record_sent(state: &mut State, key: UpstreamKey, basis: Basis, now: Micros) {
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
    if let Some(pool) = state.pools.get_mut(&service)
        && basis.preference != Preference::RemoteHome
    {
        pool.pacer.record(is_remote);
    }
}
