//! When each request is to be sent: independent random gaps around the stated rate.

use {
    super::plan::Kind,
    crate::ring::AsyncSender,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const SECOND_NANOS: f64 = 1e9;

/// One request that is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Due {
    /// Row in the plan.
    pub(super) kind: usize,
    /// When it was to be sent.
    pub(super) intended: Instant,
}

/// Due times of each kind, as nanoseconds from the start.
#[derive(Debug)]
pub(super) struct Schedule {
    rng: SmallRng,
    gaps: Vec<f64>,
    next: Vec<u64>,
}

impl Schedule {
    /// Each of `threads` schedules takes an equal part of the rates.
    pub(super) fn new(kinds: &[Kind], threads: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let parts = u32::try_from(threads).unwrap_or(u32::MAX);
        let gap = |kind: &Kind| SECOND_NANOS * f64::from(parts) / f64::from(kind.rate);
        let gaps: Vec<f64> = kinds.iter().map(gap).collect();
        let next = gaps.iter().map(|mean| draw(&mut rng, *mean)).collect();
        Self { rng, gaps, next }
    }

    /// The kind that is due next, and when.
    pub(super) fn step(&mut self) -> Option<(usize, Duration)> {
        let at = (0..self.next.len()).min_by_key(|at| self.next[*at])?;
        let due = Duration::from_nanos(self.next[at]);
        self.next[at] += draw(&mut self.rng, self.gaps[at]);
        Some((at, due))
    }
}

/// A gap with an exponential distribution: arrivals that know nothing of each other.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Gaps are short and positive.
fn draw(rng: &mut SmallRng, mean: f64) -> u64 {
    let unit: f64 = rng.random();
    (-(1.0 - unit).ln() * mean) as u64
}

/// Offers each request at its time until `length` has passed; returns how many found no room.
pub(super) fn run(mut schedule: Schedule, length: Duration, out: &AsyncSender<Due>) -> u64 {
    let start = Instant::now();
    let mut unsent = 0;
    while let Some((kind, offset)) = schedule.step() {
        if offset >= length {
            break;
        }
        let intended = start + offset;
        let wait = intended.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        unsent += u64::from(out.offer(Due { kind, intended }).is_err());
    }
    unsent
}
