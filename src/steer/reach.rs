//! Which affinity keys a zone keeps to its own upstreams.
//!
//! The load that it answers: a zone with fewer upstreams than its callers need. Spread over all keys, its
//! upstreams meet more objects than they keep, all work takes long, and little of the load is carried.
//! A part of the keys therefore leaves from the start, always the same ones, to the region's other zones
//! if these do better and beyond the region otherwise: what stays is known where it is handled, and what
//! leaves is, too. The part follows from how many requests are
//! answered within their objective here and there. Every entry VM finds it by itself; as the parts are
//! nested, VMs that differ a little agree on all other keys.

use {super::state::DISTANCES, crate::clock::Micros, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Milliseconds between changes of the part.
const LOOK_MS: u64 = 500;
/// Most of the keys that leave or come back with one change: in the users' window of two seconds about
/// as much as the pacing allows.
const STEP: f64 = 0.015;
/// Difference of the parts in time from which keys leave: below it, a crossing costs more than it gains.
const WORSE: f64 = 0.15;
/// Difference up to which they come back.
const AS_GOOD: f64 = 0.05;
/// Weight of the newest outcome: a VM among many sees some ten of a service in two seconds.
const WEIGHT: f64 = 0.06;
/// Seconds without an outcome after which nothing is known.
const STALE_S: f64 = 5.0;
/// Sets this use of a key's hash apart from the one that ranks upstreams.
const SALT: u64 = 0x72_6561_6368;

/// Part of the requests that were answered within their objective.
#[derive(Clone, Copy, Debug)]
struct Timely {
    part: f64,
    at: Micros,
}

/// The part of one service's keys that stays, and what it follows from.
#[derive(Clone, Debug)]
pub(super) struct Reach {
    /// Part of the keys that stay, of a whole.
    kept: f64,
    /// Distance to which the others go first.
    target: usize,
    timely: [Option<Timely>; DISTANCES],
    looked: Micros,
}

impl Default for Reach {
    fn default() -> Self {
        Self {
            kept: 1.0,
            target: DISTANCES - 1,
            timely: [None; DISTANCES],
            looked: Micros(0),
        }
    }
}

impl Reach {
    /// Whether requests with that affinity key go to the own zone first.
    pub(super) fn stays(&self, key: u64) -> bool {
        let place = xxh3_64_with_seed(&key.to_le_bytes(), SALT) >> 32;
        let place = f64::from(u32::try_from(place).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
        place <= self.kept
    }

    /// Distances in the order in which a key's are tried; `moves` if it has to leave the region. Beyond the
    /// first, the own region goes before others unless fewer of its answers come in time.
    pub(super) fn order(&self, key: u64, moves: bool, now: Micros) -> [usize; DISTANCES] {
        if moves || (!self.stays(key) && self.target == 2) {
            return [2, 0, 1];
        }
        if !self.stays(key) {
            return [1, 0, 2];
        }
        match (self.read(1, now), self.read(2, now)) {
            (Some(region), Some(far)) if region < far - WORSE => [0, 2, 1],
            _ => [0, 1, 2],
        }
    }

    /// Begins with a part, before anything is known.
    pub(super) fn begin(&mut self, kept: f64) {
        self.kept = kept.clamp(0.0, 1.0);
    }

    /// A request ended that was placed at that distance, in time or not.
    pub(super) fn note(&mut self, distance: usize, in_time: bool, now: Micros) {
        let newest = if in_time { 1.0 } else { 0.0 };
        let known = self.timely[distance].filter(|row| now.since(row.at).as_secs_f64() < STALE_S);
        let part = known.map_or(newest, |row| row.part + (newest - row.part) * WEIGHT);
        self.timely[distance] = Some(Timely { part, at: now });
    }

    /// Part in time at a distance, if it is known.
    fn read(&self, distance: usize, now: Micros) -> Option<f64> {
        let fresh = |row: &Timely| now.since(row.at).as_secs_f64() < STALE_S;
        self.timely[distance].filter(fresh).map(|row| row.part)
    }

    /// Where keys that leave are answered best, and how well.
    fn best(&self, now: Micros) -> Option<(usize, f64)> {
        match (self.read(1, now), self.read(2, now)) {
            (Some(region), Some(far)) if region < far - AS_GOOD => Some((2, far)),
            (Some(region), _) => Some((1, region)),
            (None, far) => far.map(|far| (2, far)),
        }
    }

    /// Lets keys leave or come back.
    pub(super) fn look(&mut self, now: Micros) {
        if now < self.looked.plus_millis(LOOK_MS) {
            return;
        }
        self.looked = now;
        let (Some(near), Some((target, far))) = (self.read(0, now), self.best(now)) else {
            // Nothing leaves, or nothing is known of what stays: a few come back and show it.
            self.kept = (self.kept + STEP / 2.0).min(1.0);
            return;
        };
        if self.kept >= 1.0 {
            // Those that have left keep to where they are known.
            self.target = target;
        }
        if near < far - WORSE {
            self.kept = (self.kept - STEP).max(0.0);
        } else if near > far - AS_GOOD {
            self.kept = (self.kept + STEP / 2.0).min(1.0);
        }
    }
}
