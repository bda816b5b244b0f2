//! Which upstream a request goes to.
//!
//! The load that it answers: work is much shorter where the object was handled lately. Requests with
//! one affinity key therefore keep to few upstreams, the same from every entry VM (rendezvous
//! hashing): the first ones of the own zone, of the region and of the rest. The nearest of these is taken
//! at which the answer is expected in time: a short wait where the object is known is better than long
//! work elsewhere, which would also push other objects out.

use {
    super::state::{Basis, DISTANCES, Flight, KEPT, Pool, State, Upstream, Warming},
    crate::{clock::Micros, keys::UpstreamKey},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Requests that a cold upstream may be sent at once when its credit is full.
const COLD_BURST: f64 = 1.0;
/// Failures in a row from which an upstream is taken for gone: over a second of them.
const GONE_FAILS: u32 = 4;
/// Times the latency objective that an answer may take which a region owes to its share that leaves: it is
/// late, but well within the patience of callers, who wait four times the objective and longer.
const OWED: f64 = 2.0;
/// Thousandths in a whole.
const MILLI: f64 = 1_000.0;
/// Upstreams that an affinity key keeps to, by distance: a second one of the own zone for when the first is
/// full. With more, an upstream meets more objects than it keeps, and all of them take long.
const KEPT_BY_DISTANCE: [usize; DISTANCES] = [2, 1, 1];

/// Whether `upstream` may be sent `flight` at all.
fn may_serve(
    state: &State,
    flight: &Flight,
    key: UpstreamKey,
    upstream: &Upstream,
    now: Micros,
) -> bool {
    let is_tried = flight.tried.contains(&key) && flight.again != Some(key);
    if !upstream.open || now < upstream.rests || is_tried {
        return false;
    }
    let homes = &flight.route.homes;
    let region = state.regions.get(&*upstream.zone);
    homes.is_empty() || region.is_some_and(|region| homes.iter().any(|home| **home == **region))
}

/// Requests a second that this VM may send a cold upstream: its part of what all may send together.
/// While the upstream's zone has entry VMs, only they send.
fn cold_share(state: &State, pool: &Pool, upstream: &Upstream, now: Micros) -> f64 {
    // Before the others are known, each would take the whole for itself.
    if now < state.settled {
        return 0.0;
    }
    #[allow(
        clippy::cast_precision_loss,
        reason = "a rate of some requests a second"
    )]
    let whole = pool.service.cold_rate as f64 / MILLI;
    let near = state.entries_in(&upstream.zone);
    if near == 0 {
        return whole / f64::from(state.all_entries());
    }
    if upstream.distance == 0 {
        whole / f64::from(near)
    } else {
        0.0
    }
}

/// Credit of a cold upstream, or `None` if it is warm.
fn cold_credit(state: &State, pool: &Pool, upstream: &Upstream, now: Micros) -> Option<f64> {
    let warming = upstream.warming.filter(|row| now < row.until)?;
    let earned = now.since(warming.at).as_secs_f64() * cold_share(state, pool, upstream, now);
    Some((warming.credit + earned).min(COLD_BURST))
}

/// Place of an upstream for an affinity key: the highest goes first.
fn affinity(upstream: &Upstream, key: u64) -> u64 {
    xxh3_64_with_seed(upstream.id.as_bytes(), key)
}

/// An upstream that may take a request now.
#[derive(Clone, Copy)]
struct Candidate {
    key: UpstreamKey,
    /// Place for the affinity key.
    place: u64,
    load: f64,
    /// Expected microseconds until the answer.
    cost: f64,
    /// Expected microseconds of waiting there.
    wait: f64,
    /// Whether it handled the object lately.
    known: bool,
}

/// Expected microseconds until the answer of an upstream at `place`, and those of waiting there; `known`
/// if it handled the object lately.
fn expect(
    state: &State,
    pool: &Pool,
    upstream: &Upstream,
    (load, place, known): (f64, usize, bool),
    now: Micros,
) -> (f64, f64) {
    let distance = usize::from(upstream.distance);
    let unsure = pool.unsure[distance][place].max(pool.known);
    let work = if known { pool.known } else { unsure };
    let slots = f64::from(upstream.slots.max(1));
    let slow = upstream.slowness(now);
    let wait = (load + 1.0 - slots).max(0.0) / slots * pool.work[distance] * slow;
    // What fails there has to be done again elsewhere.
    let again = upstream.bad * unsure;
    (state.travel[distance] + wait + work * slow + again, wait)
}

/// Part of the region's slots that are closed or fail again and again. One failure is no loss: upstreams
/// that are full refuse connections too, and that is what the pacing is for.
fn lost(state: &State, pool: &Pool) -> f64 {
    let (mut all, mut lost) = (0.0, 0.0);
    for key in &pool.upstreams {
        let near = state.upstreams.get(*key).filter(|row| row.distance < 2);
        let Some(upstream) = near else { continue };
        let slots = f64::from(upstream.slots);
        all += slots;
        if !upstream.open || upstream.fails >= GONE_FAILS {
            lost += slots;
        }
    }
    lost / f64::max(all, 1.0)
}

/// Part of the region's requests that its own upstreams are expected to carry, before anything was sent:
/// its part of all slots set against its part of the entry VMs, which stand where callers are. So every
/// slot gets its fair share of the load, and what can stay comes back later.
pub(super) fn carries(state: &State, pool: &Pool) -> f64 {
    let (mut all, mut own) = (0.0, 0.0);
    for key in &pool.upstreams {
        let open = state.upstreams.get(*key).filter(|row| row.open);
        let Some(upstream) = open else { continue };
        let slots = f64::from(upstream.slots);
        all += slots;
        if upstream.distance < 2 {
            own += slots;
        }
    }
    let in_region = |row: &&(String, u32)| {
        let region = state.regions.get(row.0.as_str());
        region.is_some_and(|region| *region == state.region)
    };
    let near: u32 = state
        .entries
        .rows()
        .iter()
        .filter(in_region)
        .map(|row| row.1)
        .sum();
    let asked = f64::from(near.max(1)) / f64::from(state.all_entries());
    own / f64::max(all, 1.0) / asked
}

/// Upstreams that may take a request now.
#[derive(Default)]
struct Candidates {
    /// Those that its affinity key keeps to, by distance and place.
    kept: [[Option<Candidate>; KEPT]; DISTANCES],
    /// The nearest with room, and of these the emptiest.
    spare: Option<(u8, Candidate)>,
}

/// Collects the upstreams that may take `flight` now, with what is believed to be there.
fn collect(state: &State, pool: &Pool, flight: &Flight, now: Micros) -> Candidates {
    let mut found = Candidates::default();
    // Requests that have no home here do not move.
    let homes = &flight.route.homes;
    let lives_away = !homes.is_empty() && !homes.iter().any(|home| **home == *state.region);
    let is_free = pool.moves.is_first() && carries(state, pool) < 1.0;
    let free = if is_free { 1.0 } else { lost(state, pool) };
    let may_leave = pool.moves.may_leave(free, now);
    for key in &pool.upstreams {
        let Some(upstream) = state.upstreams.get(*key) else {
            continue;
        };
        if !may_serve(state, flight, *key, upstream, now) {
            continue;
        }
        if upstream.distance == 2 && !may_leave && !lives_away {
            continue;
        }
        let cold = cold_credit(state, pool, upstream, now);
        if cold.is_some_and(|credit| credit < 1.0) {
            continue;
        }
        let distance = usize::from(upstream.distance);
        let load = upstream.load(pool.usual[distance], now, state.settings.told_ms);
        let candidate = Candidate {
            key: *key,
            place: affinity(upstream, flight.affinity),
            load,
            cost: 0.0,
            wait: 0.0,
            known: false,
        };
        if load < f64::from(upstream.slots) {
            let is_better = |(distance, other): &(u8, Candidate)| {
                (upstream.distance, load) < (*distance, other.load)
            };
            if found.spare.as_ref().is_none_or(is_better) {
                found.spare = Some((upstream.distance, candidate));
            }
        }
        insert(
            &mut found.kept[distance][..KEPT_BY_DISTANCE[distance]],
            candidate,
        );
    }
    found
}

/// The upstream for `flight`, if there is one at which it is of use now: the nearest at which the answer
/// comes in time, else the first without a wait: what comes late anyway is to push out nothing elsewhere.
pub(super) fn choose(
    state: &State,
    pool: &Pool,
    flight: &Flight,
    now: Micros,
) -> Option<(UpstreamKey, Basis)> {
    let elapsed = now.since(flight.arrived).as_secs_f64() * 1e6;
    #[allow(clippy::cast_precision_loss, reason = "some seconds at most")]
    let objective = (flight.route.objective_ms * 1_000) as f64 - elapsed;
    let mut found = collect(state, pool, flight, now);
    let has_to_leave = pool.moves.has_to_leave();
    let stays = pool.reach.stays(flight.affinity);
    let mut late: Option<(Candidate, usize)> = None;
    let mut best: Option<(Candidate, usize)> = None;
    for row in pool.reach.order(flight.affinity, has_to_leave, now) {
        for (at, candidate) in found.kept[row].iter_mut().enumerate() {
            let Some(candidate) = candidate else { continue };
            let Some(upstream) = state.upstreams.get(candidate.key) else {
                continue;
            };
            candidate.known = upstream.knows(flight.affinity, now);
            let belief = (candidate.load, at, candidate.known);
            (candidate.cost, candidate.wait) = expect(state, pool, upstream, belief, now);
            let is_sooner = |other: &Option<(Candidate, usize)>| {
                other.is_none_or(|(other, _)| candidate.cost < other.cost)
            };
            // A region's share may not fall at once because others are full for a moment.
            let owed = has_to_leave && row == 2 && candidate.cost <= OWED * objective;
            if (owed || candidate.cost <= objective) && is_sooner(&best) {
                best = Some((*candidate, at));
            }
            if candidate.wait <= 0.0 && late.is_none() {
                late = Some((*candidate, at));
            }
        }
        if best.is_some() {
            break;
        }
    }
    // Requests without a key have nothing to keep to.
    let has_key = flight.route.affinity && found.kept.iter().flatten().any(Option::is_some);
    let spare = found.spare.filter(|_| !has_key);
    let spare = spare.map(|(_, candidate)| (candidate, KEPT));
    let (candidate, rank) = best.or(late).or(spare)?;
    let upstream = state.upstreams.get(candidate.key)?;
    let basis = Basis {
        load: candidate.load,
        slots: upstream.slots,
        distance: upstream.distance,
        rank,
        spills: stays && !has_to_leave && upstream.distance > 0,
        waits: candidate.wait > 0.0,
        known: candidate.known,
    };
    Some((candidate.key, basis))
}

/// Keeps the candidates of the highest places.
fn insert(row: &mut [Option<Candidate>], candidate: Candidate) {
    let mut next = Some(candidate);
    for kept in row {
        let is_lower = match (&*kept, &next) {
            (Some(kept), Some(next)) => kept.place < next.place,
            (None, _) => true,
            (_, None) => return,
        };
        if is_lower {
            std::mem::swap(kept, &mut next);
        }
    }
}

/// Notes that a request goes to `key`.
pub(super) fn take(state: &mut State, key: UpstreamKey, now: Micros) {
    let Some(upstream) = state.upstreams.get(key) else {
        return;
    };
    let credit = state
        .pools
        .get(&upstream.service)
        .and_then(|pool| cold_credit(state, pool, upstream, now));
    let away = upstream.distance == 2;
    let service = Arc::clone(&upstream.service);
    if let Some(upstream) = state.upstreams.get_mut(key) {
        upstream.own += 1;
        if let (Some(warming), Some(credit)) = (upstream.warming, credit) {
            upstream.warming = Some(Warming {
                credit: credit - 1.0,
                at: now,
                ..warming
            });
        }
    }
    if let Some(pool) = state.pools.get_mut(&service) {
        pool.moves.note(away);
    }
}
