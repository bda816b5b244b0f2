//! Send times of requests: a Poisson process with the configured rate for each kind of request.

use {
    super::plan::Kind,
    crate::ring::AsyncSender,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const NANOS_PER_SECOND: f64 = 1e9;

/// One request whose send time has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct Due {
    /// Index of its kind in the plan.
    pub(super) kind: usize,
    /// Scheduled send time.
    pub(super) scheduled: Instant,
}

/// Next send time of each kind, in nanoseconds from the start.
#[derive(Debug)]
pub(super) struct Schedule {
    rng: SmallRng,
    mean_gaps: Vec<f64>,
    next: Vec<u64>,
}

impl Schedule {
    /// Schedule of one of `threads` threads, each of which sends an equal share of the rates.
    pub(super) fn new(kinds: &[Kind], threads: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let shares = u32::try_from(threads).unwrap_or(u32::MAX);
        let mean_gap = |kind: &Kind| NANOS_PER_SECOND * f64::from(shares) / f64::from(kind.rate);
        let mean_gaps: Vec<f64> = kinds.iter().map(mean_gap).collect();
        let next = mean_gaps
            .iter()
            .map(|mean| draw_gap(&mut rng, *mean))
            .collect();
        Self {
            rng,
            mean_gaps,
            next,
        }
    }

    /// Index of the kind that is due next and its send time as an offset from the start.
    pub(super) fn step(&mut self) -> Option<(usize, Duration)> {
        let index = (0..self.next.len()).min_by_key(|index| self.next[*index])?;
        let due = Duration::from_nanos(self.next[index]);
        self.next[index] += draw_gap(&mut self.rng, self.mean_gaps[index]);
        Some((index, due))
    }
}

/// Draws an exponentially distributed gap in nanoseconds, as between independent arrivals.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Gaps are short and positive.
fn draw_gap(rng: &mut SmallRng, mean: f64) -> u64 {
    let unit: f64 = rng.random();
    (-(1.0 - unit).ln() * mean) as u64
}

/// Offers each request to the ring at its send time until `length` has passed. Returns the number
/// of requests that were dropped because the ring was full or closed.
pub(super) fn run(mut schedule: Schedule, length: Duration, out: &AsyncSender<Due>) -> u64 {
    let start = Instant::now();
    let mut unsent = 0;
    while let Some((kind, offset)) = schedule.step() {
        if offset >= length {
            break;
        }
        let scheduled = start + offset;
        let wait = scheduled.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        unsent += u64::from(out.offer(Due { kind, scheduled }).is_err());
    }
    unsent
}
