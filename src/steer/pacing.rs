//! Limits how fast the share of requests that leave the region may change.
//!
//! It applies when a region's traffic rises above the capacity of its upstreams, or falls again. Other
//! regions must neither receive all of the surplus at once nor lose it at once. The share that corresponds to
//! upstreams that the region has lost may leave immediately. The first requests after a pause are not limited:
//! they may be distributed immediately as the region's capacity requires.

use crate::clock::Micros;

/// Windows without a request after which the next request counts as the first: callers cache resolved
/// addresses for about that time.
const EXPIRY_WINDOWS: u32 = 5;
/// Ratio of the current window's requests to the last one's above which the current window counts as the
/// first: a few probes arrive before the traffic of callers.
const RESTART_FACTOR: u32 = 4;
/// Share of a window's requests that may leave ahead of schedule, which is before the permitted share of the
/// requests sent so far covers them, while fewer are sent than before: whether a VM finds a free slot in its
/// local region at a given instant is random. Together with the step it stays below the permitted change.
const MAX_AHEAD: f64 = 0.04;

/// Requests of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    total: u32,
    remote: u32,
}

impl Window {
    fn share(self) -> f64 {
        f64::from(self.remote) / f64::from(self.total.max(1))
    }
}

/// Limits the change of the share that leaves the region, for one service. Shares are fractions of 1.
#[derive(Clone, Debug)]
pub(super) struct RegionPacer {
    /// Maximum change of the share from one window to the next.
    step: f64,
    length_ms: u64,
    started: Micros,
    current: Window,
    /// The last window with requests.
    previous: Option<Window>,
    /// Whether there is no earlier window to compare the current one with.
    is_new: bool,
    /// Consecutive windows without a request since `previous`.
    empty_windows: u32,
    /// Requests that left ahead of schedule in the last window.
    debt: f64,
    /// Random fraction of a request drawn for each window, so that a VM with few requests may move fewer
    /// than one per window on average.
    dither: f64,
}

impl RegionPacer {
    pub(super) fn new(permille: u64, length_ms: u64) -> Self {
        #[allow(clippy::cast_precision_loss, reason = "at most 1000")]
        let step = permille as f64 / 1_000.0;
        Self {
            step,
            length_ms,
            started: Micros(0),
            current: Window::default(),
            previous: None,
            is_new: true,
            empty_windows: 0,
            debt: 0.0,
            dither: 0.0,
        }
    }

    /// Starts a new window when the current one is over, or when traffic has only just started.
    pub(super) fn tick(&mut self, random: u64, now: Micros) {
        let previous = self.previous.unwrap_or_default().total;
        let restarts = !self.is_new && self.current.total > RESTART_FACTOR * (previous + 1);
        if !restarts && now < self.started.plus_millis(self.length_ms) {
            return;
        }
        self.debt = 0.0;
        if restarts {
            self.previous = None;
        } else if self.current.total > 0 {
            let ahead =
                f64::from(self.current.remote) - self.max_share() * f64::from(self.current.total);
            if !self.is_new {
                self.debt = ahead.clamp(0.0, self.max_ahead());
            }
            self.previous = Some(self.current);
            self.empty_windows = 0;
        } else {
            self.empty_windows += 1;
            if self.empty_windows >= EXPIRY_WINDOWS {
                self.previous = None;
            }
        }
        self.is_new = self.previous.is_none();
        self.current = Window::default();
        self.started = now;
        self.dither = f64::from(u16::try_from(random % 1_000).unwrap_or(0)) / 1_000.0;
    }

    /// Maximum share of the window's requests that may leave.
    fn max_share(&self) -> f64 {
        self.previous.unwrap_or_default().share() + self.step
    }

    /// Maximum number of requests that may leave ahead of schedule.
    fn max_ahead(&self) -> f64 {
        MAX_AHEAD * f64::from(self.previous.unwrap_or_default().total)
    }

    /// Requests expected by now at the rate of the last window.
    fn expected(&self, now: Micros) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "far below 2^53 ms")]
        let length = self.length_ms as f64 / 1_000.0;
        let fraction = now.since(self.started).as_secs_f64() / length;
        f64::from(self.previous.unwrap_or_default().total) * fraction.min(1.0)
    }

    /// Whether no earlier share is known whose change could be limited.
    pub(super) fn is_first_window(&self) -> bool {
        self.is_new
    }

    /// Whether one more request may leave the region; a share of up to `unlimited` may leave without
    /// pacing.
    pub(super) fn may_leave(&self, unlimited: f64, now: Micros) -> bool {
        // Relative to the requests sent now: a region that fills up sends fewer to its upstreams than before.
        let total = f64::from(self.current.total + 1);
        let share = self.max_share().max(unlimited);
        let ahead = (share * (self.expected(now) - total)).clamp(0.0, self.max_ahead());
        f64::from(self.current.remote + 1) <= share * total + self.dither.max(ahead) - self.debt
    }

    /// Whether one more request must leave the region, so that the share does not drop abruptly.
    pub(super) fn must_leave(&self) -> bool {
        let share = self.previous.unwrap_or_default().share() - self.step;
        let required = share.max(0.0) * f64::from(self.current.total + 1);
        required > 0.0 && f64::from(self.current.remote + 1) <= required + self.dither
    }

    /// Counts a request that was sent.
    pub(super) fn record(&mut self, is_remote: bool) {
        self.current.total += 1;
        self.current.remote += u32::from(is_remote);
    }
}
