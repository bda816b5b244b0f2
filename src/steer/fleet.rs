//! Numbers of the other entry VMs, by which limits for all of them are divided.
//!
//! A control VM that has just started lists only the entry VMs whose heartbeats it has received since, so that
//! for some seconds too few may be listed. None of them may then use the part of one that is not listed.

use crate::clock::Micros;

/// A number that counts as no lower than it was at any time within the last window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentMax {
    current: u32,
    /// An earlier, higher number, and the time until which it counts.
    earlier: (u32, Micros),
}

impl RecentMax {
    /// Replaces the number, which has been in force until now.
    pub(super) fn record(&mut self, number: u32, window_ms: u64, now: Micros) {
        if number < self.current {
            self.earlier = (self.read(now), now.plus_millis(window_ms));
        }
        self.current = number;
    }

    /// The number in force.
    pub(super) const fn current(self) -> u32 {
        self.current
    }

    /// Maximum of the number within the last window.
    pub(super) fn read(self, now: Micros) -> u32 {
        let (earlier, until) = self.earlier;
        if now < until {
            self.current.max(earlier)
        } else {
            self.current
        }
    }
}
