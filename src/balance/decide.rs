//! Selection among upstreams whose load is uncertain: plain functions of values and a random number.

use super::state::Expected;

/// Upstreams compared for a request without an affinity key. With more, those that seemed free in the last report
/// are selected by too many entry VMs.
pub const SAMPLES: usize = 2;
/// Draws for these samples: some of the upstreams drawn may not be sent the request, and those with few slots are
/// drawn too often.
const MAX_DRAWS: u64 = 16;
/// First number of the sequence that is used for the deviations of costs.
const FIRST_DEVIATION: u64 = 2 * MAX_DRAWS;

/// The `nth` of a sequence of independent numbers in `[0, 1)` that follows from `random`.
///
/// ```
/// use siskinstep::balance::decide::draw;
/// assert!((0..100).all(|nth| (0.0..1.0).contains(&draw(7, nth))));
/// assert!(draw(7, 0) != draw(7, 1) && draw(7, 0) != draw(8, 0));
/// ```
#[must_use]
pub fn draw(random: u64, nth: u64) -> f64 {
    // SplitMix64.
    let mut bits = random.wrapping_add(nth.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^= bits >> 31;
    #[allow(clippy::cast_precision_loss, reason = "53 bits are exact")]
    let fraction = (bits >> 11) as f64 / (1_u64 << 53) as f64;
    fraction
}

/// What is known of an upstream that may be sent a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Expected requests there.
    pub expected: Expected,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Work time relative to that of other upstreams.
    pub slowness: f64,
}

impl Candidate {
    /// Cost of one more request: load per slot with it, where work takes longer or shorter than usual. Mean and
    /// standard deviation.
    fn cost(&self) -> (f64, f64) {
        let scale = self.slowness / f64::from(self.slots.max(1));
        let spread = self.expected.variance.sqrt();
        ((self.expected.load + 1.0) * scale, spread * scale)
    }
}

/// Selects one of `count` upstreams by position: the better of [`SAMPLES`] that are drawn in proportion to their
/// slots. `candidate` describes an upstream, or is `None` if it may not be selected; none has more than `most_slots`.
/// The draws are few, whatever `count` is: they may miss all upstreams that may be selected.
///
/// ```
/// use siskinstep::balance::{Expected, decide::{Candidate, select}};
/// let load = |load: f64| Candidate {
///     expected: Expected { load, variance: 0.0 },
///     slots: 4,
///     slowness: 1.0,
/// };
/// assert_eq!(select(2, 4, |index| Some(load([3.0, 1.0][index])), 7), Some(1));
/// assert_eq!(select(1_000, 4, |_| None, 7), None);
/// ```
#[must_use]
pub fn select(
    count: usize,
    most_slots: u32,
    mut candidate: impl FnMut(usize) -> Option<Candidate>,
    random: u64,
) -> Option<usize> {
    let mut samples = [0; SAMPLES];
    let mut costs = [(0.0, 0.0); SAMPLES];
    let mut found = 0;
    for nth in 0..MAX_DRAWS {
        if found == SAMPLES.min(count) {
            break;
        }
        let index = position(draw(random, 2 * nth), count);
        // Those with fewer slots are kept less often.
        let is_kept = |slots: u32| {
            draw(random, 2 * nth + 1) * f64::from(most_slots) < f64::from(slots.max(1))
        };
        if samples[..found].contains(&index) {
            continue;
        }
        if let Some(row) = candidate(index).filter(|row| is_kept(row.slots)) {
            (samples[found], costs[found]) = (index, row.cost());
            found += 1;
        }
    }
    least(&costs[..found], random).map(|best| samples[best])
}

/// Position below `count` at `fraction` of it.
fn position(fraction: f64, count: usize) -> usize {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "nonnegative, far below 2^53"
    )]
    let index = (fraction * count as f64) as usize;
    index
}

/// A number with mean 0, variance 1 and bounds of 3.5, nearly normal: the sum of four uniform numbers.
///
/// ```
/// use siskinstep::balance::decide::deviation;
/// assert!((0..100).all(|nth| deviation(7, nth).abs() < 3.5));
/// ```
#[must_use]
pub fn deviation(random: u64, nth: u64) -> f64 {
    let sum: f64 = (0..4).map(|part| draw(random, nth * 4 + part)).sum();
    (sum - 2.0) * 3.0_f64.sqrt()
}

/// Position of the candidate with the least cost, where `costs` are means and standard deviations. Each is drawn
/// from its distribution, so that a candidate is selected about as often as it is the best one: always without
/// uncertainty, half of the time if two are expected to be equal. The first of several equal ones is selected.
///
/// ```
/// use siskinstep::balance::decide::least;
/// assert_eq!(least(&[(3.0, 0.0), (2.0, 0.0)], 7), Some(1));
/// let count = (0..1_000).filter(|random| least(&[(2.0, 1.0), (2.0, 1.0)], *random) == Some(0)).count();
/// assert!((450..550).contains(&count));
/// ```
#[must_use]
pub fn least(costs: &[(f64, f64)], random: u64) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (index, (mean, spread)) in costs.iter().enumerate() {
        let nth = FIRST_DEVIATION + u64::try_from(index).unwrap_or(0);
        let cost = mean + spread * deviation(random, nth);
        if best.is_none_or(|(_, other)| cost < other) {
            best = Some((index, cost));
        }
    }
    best.map(|(index, _)| index)
}
