//! Selects the affinity keys that a zone serves from its local upstreams.
//!
//! It applies when a zone has fewer upstreams than its callers need. Spread over all keys, these
//! upstreams would serve more keys than they can cache; all requests would be slow, and little of the
//! load would be served. A subset of the keys, always the same ones, therefore prefers from the first
//! attempt other zones of the region if these do better, and other regions otherwise: the keys that stay
//! and those that leave are then served from warm caches. The share follows from the rates of responses
//! within the objective at each distance. Each entry VM determines it independently; as the sets of keys
//! are nested, VMs with slightly different shares agree on all other keys.

use {super::state::DISTANCES, crate::clock::Micros, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Milliseconds between changes of the share.
const ADAPT_INTERVAL_MS: u64 = 500;
/// Maximum change of the share: over two seconds, the length of a pacing window, about as much as the pacing
/// allows.
const MAX_STEP: f64 = 0.015;
/// Difference of the on-time rates above which keys leave: below it, leaving costs more latency than it
/// gains.
const LEAVE_MARGIN: f64 = 0.15;
/// Difference of the on-time rates up to which keys return.
const RETURN_MARGIN: f64 = 0.05;
/// Weight of the newest outcome: one of many VMs sees about ten outcomes of a service in two seconds.
const EWMA_WEIGHT: f64 = 0.06;
/// Seconds without an outcome after which a rate is unknown.
const STALE_S: f64 = 5.0;
/// Seed that makes this hash of a key independent of the ranking of upstreams.
const SALT: u64 = 0x72_6561_6368;

/// Rate of the requests with a response within their objective.
#[derive(Clone, Copy, Debug)]
struct OnTime {
    rate: f64,
    at: Micros,
}

/// Affinity keys of one service that stay in the local zone, and the rates that determine them.
#[derive(Clone, Debug)]
pub(super) struct Locality {
    /// Fraction of the keys that stay.
    local_share: f64,
    /// Distance that the other keys prefer.
    outer_distance: usize,
    on_time: [Option<OnTime>; DISTANCES],
    adapted: Micros,
}

impl Default for Locality {
    fn default() -> Self {
        Self {
            local_share: 1.0,
            outer_distance: DISTANCES - 1,
            on_time: [None; DISTANCES],
            adapted: Micros(0),
        }
    }
}

impl Locality {
    /// Whether requests with that affinity key prefer the local zone.
    pub(super) fn is_local(&self, key: u64) -> bool {
        let position = xxh3_64_with_seed(&key.to_le_bytes(), SALT) >> 32;
        let position = f64::from(u32::try_from(position).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
        position <= self.local_share
    }

    /// Distances in the order in which they are tried for a key; `must_leave` if it has to leave the region.
    /// After the first distance, the local region precedes others unless its on-time rate is clearly lower.
    pub(super) fn distance_order(
        &self,
        key: u64,
        must_leave: bool,
        now: Micros,
    ) -> [usize; DISTANCES] {
        if must_leave || (!self.is_local(key) && self.outer_distance == 2) {
            return [2, 0, 1];
        }
        if !self.is_local(key) {
            return [1, 0, 2];
        }
        match (self.rate(1, now), self.rate(2, now)) {
            (Some(region), Some(far)) if region < far - LEAVE_MARGIN => [0, 2, 1],
            _ => [0, 1, 2],
        }
    }

    /// Sets the initial share, before any outcome is known.
    pub(super) fn set_local_share(&mut self, share: f64) {
        self.local_share = share.clamp(0.0, 1.0);
    }

    /// Records the outcome of a request that was placed at that distance.
    pub(super) fn record(&mut self, distance: usize, in_time: bool, now: Micros) {
        let newest = if in_time { 1.0 } else { 0.0 };
        let recent = self.on_time[distance].filter(|row| now.since(row.at).as_secs_f64() < STALE_S);
        let rate = recent.map_or(newest, |row| row.rate + (newest - row.rate) * EWMA_WEIGHT);
        self.on_time[distance] = Some(OnTime { rate, at: now });
    }

    /// On-time rate at a distance, if it is known.
    fn rate(&self, distance: usize, now: Micros) -> Option<f64> {
        let is_recent = |row: &OnTime| now.since(row.at).as_secs_f64() < STALE_S;
        self.on_time[distance].filter(is_recent).map(|row| row.rate)
    }

    /// Distance at which keys that leave are served best, and its on-time rate.
    fn best_outer(&self, now: Micros) -> Option<(usize, f64)> {
        match (self.rate(1, now), self.rate(2, now)) {
            (Some(region), Some(far)) if region < far - RETURN_MARGIN => Some((2, far)),
            (Some(region), _) => Some((1, region)),
            (None, far) => far.map(|far| (2, far)),
        }
    }

    /// Adapts the local share to the on-time rates.
    pub(super) fn adapt(&mut self, now: Micros) {
        if now < self.adapted.plus_millis(ADAPT_INTERVAL_MS) {
            return;
        }
        self.adapted = now;
        let (Some(local), Some((distance, outer))) = (self.rate(0, now), self.best_outer(now))
        else {
            // No key leaves, or there is no recent outcome of those that stay or of those that left: a few
            // keys return and provide samples.
            self.local_share = (self.local_share + MAX_STEP / 2.0).min(1.0);
            return;
        };
        if self.local_share >= 1.0 {
            // The distance changes only while all keys are local: the others have their data cached at the
            // current distance.
            self.outer_distance = distance;
        }
        if local < outer - LEAVE_MARGIN {
            self.local_share = (self.local_share - MAX_STEP).max(0.0);
        } else if local > outer - RETURN_MARGIN {
            self.local_share = (self.local_share + MAX_STEP / 2.0).min(1.0);
        }
    }
}
