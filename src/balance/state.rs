//! Load estimates of upstreams from the reports in their responses.

use crate::clock::Micros;

/// Half-life in seconds of an upstream's average load: a full queue drains in about that time without new
/// requests.
const AVERAGE_HALF_LIFE_S: f64 = 2.0;
/// Half-life in seconds of the average load of all upstreams while no report arrives.
const SILENCE_HALF_LIFE_S: f64 = 0.5;
/// Half-life in seconds of a reported deviation from the usual work time, which changes many times per second.
const SLOW_HALF_LIFE_S: f64 = 0.1;
/// Age in seconds at which the rest of it is dropped: otherwise it would decide between equal upstreams.
const SLOW_END_S: f64 = 1.0;
/// Bounds of the reported work time, relative to the usual one: a wrong figure must neither attract all requests
/// nor exclude an upstream.
const SLOW_BOUNDS: (f64, f64) = (0.25, 10.0);
/// Part of the requests that must have been replaced since the previous report for the two to show a rate.
const MIN_REPLACED: f64 = 0.05;

/// Fraction that remains of a value with that half-life.
fn kept(age_s: f64, half_life_s: f64) -> f64 {
    (-age_s / half_life_s).exp2()
}

/// Load that an upstream reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it was processing.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it processes at the same time; 0 if unknown.
    pub slots: u32,
    /// Work time in percent of the usual one; `None` if not reported.
    pub slow_percent: Option<u32>,
    /// Time at which the report arrived.
    pub at: Micros,
}

/// Average load that other VMs cause at several upstreams, per slot. One of many entry VMs receives few reports
/// from each upstream, but many from all of them together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    per_slot: f64,
    at: Micros,
}

impl Average {
    /// Records the load per slot of one report.
    pub fn record(&mut self, per_slot: f64, now: Micros) {
        let kept = kept(now.since(self.at).as_secs_f64(), AVERAGE_HALF_LIFE_S);
        self.per_slot = per_slot + (self.per_slot - per_slot) * kept;
        self.at = now;
    }

    /// Load per slot, which decays while no reports arrive: the upstreams may have free slots again, so that a
    /// probe is worthwhile.
    #[must_use]
    pub fn read(self, now: Micros) -> f64 {
        self.per_slot * kept(now.since(self.at).as_secs_f64(), SILENCE_HALF_LIFE_S)
    }
}

/// Expected requests at an upstream, and the variance of that number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expected {
    /// Requests of this and of other VMs.
    pub load: f64,
    /// Variance of the requests of other VMs.
    pub variance: f64,
}

/// What the reports of one upstream tell about the requests of other VMs there.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Requests of other VMs when it last reported.
    others: f64,
    /// Moving average of `others`.
    average: f64,
    /// Requests that other VMs keep there if they go on to send as between the last two reports.
    inflow: f64,
    /// Time of the last report.
    at: Micros,
    /// Reported work time relative to the usual one, and the time of that report.
    slow: (f64, Micros),
}

impl Estimate {
    /// Records a report. `own` of the reported requests are from this VM; half of the requests end within
    /// `half_life_ms`.
    ///
    /// ```
    /// use siskinstep::{balance::{Average, Estimate, Load}, clock::Micros};
    /// let at = Micros::from_millis(60_000);
    /// let mut estimate = Estimate::default();
    /// estimate.record(Load { running: 3, slots: 4, at, ..Load::default() }, 1, 500);
    /// let expected = estimate.expect(1, 4, Average::default(), at, 500);
    /// assert_eq!((expected.load, expected.variance), (3.0, 0.0));
    /// ```
    pub fn record(&mut self, load: Load, own: u32, half_life_ms: u64) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        let others = (total - f64::from(own)).max(0.0);
        let age_s = load.at.since(self.at).as_secs_f64();
        let weight = 1.0 - kept(age_s, AVERAGE_HALF_LIFE_S);
        let replaced = 1.0 - kept(age_s, seconds(half_life_ms));
        if replaced >= MIN_REPLACED {
            // Those of the previous report that are still there do not count as sent since.
            let sent = (others - self.others * (1.0 - replaced)).max(0.0);
            self.inflow += (sent / replaced - self.inflow) * weight;
        }
        self.others = others;
        self.average += (others - self.average) * weight;
        self.at = load.at;
        if let Some(percent) = load.slow_percent {
            let (least, most) = SLOW_BOUNDS;
            self.slow = ((f64::from(percent) / 100.0).clamp(least, most), load.at);
        }
    }

    /// Time of the last report.
    #[must_use]
    pub fn at(&self) -> Micros {
        self.at
    }

    /// Requests of other VMs in the last report.
    #[must_use]
    pub fn others(&self) -> f64 {
        self.others
    }

    /// Expected requests at an upstream with `slots`, `own` of them from this VM. A report of the others is valid
    /// for about as long as a request takes, with a half-life of `half_life_ms`; after that the average of the
    /// upstream applies, and later that of its `peers`. The variance grows from 0 with the age of the report, as
    /// reported requests end and others arrive.
    #[must_use]
    pub fn expect(
        &self,
        own: u32,
        slots: u32,
        peers: Average,
        now: Micros,
        half_life_ms: u64,
    ) -> Expected {
        let age_s = now.since(self.at).as_secs_f64();
        let peers = peers.read(now) * f64::from(slots);
        let average = peers + (self.average - peers) * kept(age_s, AVERAGE_HALF_LIFE_S);
        let still = kept(age_s, seconds(half_life_ms));
        let others = average + (self.others - average) * still;
        let inflow = average.max(self.inflow * kept(age_s, AVERAGE_HALF_LIFE_S));
        Expected {
            load: f64::from(own) + others,
            variance: (self.others * still + inflow) * (1.0 - still),
        }
    }

    /// Work time relative to that of other upstreams: as reported, and with the age of the report ever closer to
    /// `usual`, what is usual for this upstream.
    ///
    /// ```
    /// use siskinstep::{balance::{Estimate, Load}, clock::Micros};
    /// let at = Micros::from_millis(60_000);
    /// let mut estimate = Estimate::default();
    /// estimate.record(Load { slow_percent: Some(300), at, ..Load::default() }, 0, 500);
    /// assert!((estimate.slowness(1.0, at) - 3.0).abs() < 1e-9);
    /// assert!((estimate.slowness(1.0, at.plus_millis(100)) - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn slowness(&self, usual: f64, now: Micros) -> f64 {
        let (slow, at) = self.slow;
        let age_s = now.since(at).as_secs_f64();
        if at == Micros(0) || age_s >= SLOW_END_S {
            return usual;
        }
        usual + (slow - usual) * kept(age_s, SLOW_HALF_LIFE_S)
    }
}

/// At least a millisecond, in seconds.
fn seconds(ms: u64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "far below 2^53 ms")]
    let ms = ms.max(1) as f64;
    ms / 1_000.0
}
