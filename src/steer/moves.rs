//! Paces how fast the share of requests that leave the region may change.
//!
//! The load that it answers: a region whose traffic rises above what its upstreams carry, or falls
//! again. Others must not be hit by all of the surplus at once, nor lose it at once. What the region
//! has lost of its upstreams may leave without delay. The first requests after a pause change nothing:
//! they may be spread at once as the region's room asks for.

use crate::clock::Micros;

/// Windows without a request after which the next one is the first again: callers keep what they were
/// told for about as long.
const FORGETS: u32 = 5;
/// Times the requests of the last window from which the present one counts as the first: a few of the
/// users' probes come before the callers do.
const GROWS: u32 = 4;
/// Part of a window's requests that may leave ahead of their turn, while fewer are sent than before:
/// whether a VM finds room at home at the moment is luck. With the step it stays below the users' bound.
const AHEAD: f64 = 0.04;

/// Requests of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    all: u32,
    away: u32,
}

impl Window {
    fn share(self) -> f64 {
        f64::from(self.away) / f64::from(self.all.max(1))
    }
}

/// Paces moves of one service. Shares are parts of a whole.
#[derive(Clone, Debug)]
pub(super) struct Moves {
    /// Most by which the share may change from one window to the next.
    step: f64,
    length_ms: u64,
    began: Micros,
    now: Window,
    /// The last one with requests.
    before: Option<Window>,
    /// Whether no window is known to which the present one compares.
    is_new: bool,
    /// Windows without a request since.
    empty: u32,
    /// Requests that left ahead of their turn in the last window.
    debt: f64,
    /// Drawn anew for each window: a VM that sees few requests may move a part of one on average.
    chance: f64,
}

impl Moves {
    pub(super) fn new(permille: u64, length_ms: u64) -> Self {
        #[allow(clippy::cast_precision_loss, reason = "a thousand at most")]
        let step = permille as f64 / 1_000.0;
        Self {
            step,
            length_ms,
            began: Micros(0),
            now: Window::default(),
            before: None,
            is_new: true,
            empty: 0,
            debt: 0.0,
            chance: 0.0,
        }
    }

    /// Begins a new window when the present one is over, or when traffic has only begun.
    pub(super) fn tick(&mut self, random: u64, now: Micros) {
        let usual = self.before.unwrap_or_default().all;
        let begins = !self.is_new && self.now.all > GROWS * (usual + 1);
        if !begins && now < self.began.plus_millis(self.length_ms) {
            return;
        }
        self.debt = 0.0;
        if begins {
            self.before = None;
        } else if self.now.all > 0 {
            let ahead = f64::from(self.now.away) - self.share() * f64::from(self.now.all);
            if !self.is_new {
                self.debt = ahead.clamp(0.0, self.most_ahead());
            }
            self.before = Some(self.now);
            self.empty = 0;
        } else {
            self.empty += 1;
            if self.empty >= FORGETS {
                self.before = None;
            }
        }
        self.is_new = self.before.is_none();
        self.now = Window::default();
        self.began = now;
        self.chance = f64::from(u16::try_from(random % 1_000).unwrap_or(0)) / 1_000.0;
    }

    /// Most of the window's requests that may leave.
    fn share(&self) -> f64 {
        self.before.unwrap_or_default().share() + self.step
    }

    /// Most requests that may leave ahead of their turn.
    fn most_ahead(&self) -> f64 {
        AHEAD * f64::from(self.before.unwrap_or_default().all)
    }

    /// Requests that would be sent by now if it went on as in the last window.
    fn usual(&self, now: Micros) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "some seconds")]
        let length = self.length_ms as f64 / 1_000.0;
        let part = now.since(self.began).as_secs_f64() / length;
        f64::from(self.before.unwrap_or_default().all) * part.min(1.0)
    }

    /// Whether no share is known yet that could change.
    pub(super) fn is_first(&self) -> bool {
        self.is_new
    }

    /// Whether one more may leave a region from which that share may leave at once.
    pub(super) fn may_leave(&self, free: f64, now: Micros) -> bool {
        // Of what is sent now: a region that fills up sends less to its own upstreams than before.
        let all = f64::from(self.now.all + 1);
        let share = self.share().max(free);
        let ahead = (share * (self.usual(now) - all)).clamp(0.0, self.most_ahead());
        f64::from(self.now.away + 1) <= share * all + self.chance.max(ahead) - self.debt
    }

    /// Whether one more has to leave, so that the share does not fall at once.
    pub(super) fn has_to_leave(&self) -> bool {
        let share = self.before.unwrap_or_default().share() - self.step;
        let owed = share.max(0.0) * f64::from(self.now.all + 1);
        owed > 0.0 && f64::from(self.now.away + 1) <= owed + self.chance
    }

    /// Counts a request that was sent.
    pub(super) fn note(&mut self, away: bool) {
        self.now.all += 1;
        self.now.away += u32::from(away);
    }
}
