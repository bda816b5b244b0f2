//! The slots of each upstream and the attempts that hold them.

use {
    crate::{
        announce::Announcement,
        keys::{FlightKey, UpstreamKey},
    },
    slotmap::{SecondaryMap, SlotMap},
};

/// One upstream's slots.
#[derive(Clone, Debug)]
pub struct Row {
    /// What the upstream says of itself.
    pub said: Announcement,
    /// Slots that are taken.
    pub taken: u32,
    /// Whether it announces itself and is not leaving.
    pub present: bool,
    /// Whether an operator drains it.
    pub drained: bool,
}

impl Row {
    /// Whether it gets new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.present && !self.drained
    }

    /// Slots that a request may take now.
    #[must_use]
    pub fn free(&self) -> u32 {
        if self.is_open() {
            u32::from(self.said.slots).saturating_sub(self.taken)
        } else {
            0
        }
    }
}

/// One attempt in flight: it holds one slot.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// Upstream whose slot it holds.
    pub upstream: UpstreamKey,
    /// Number of this attempt, from one.
    pub attempt: u64,
}

/// The slots of each upstream and the attempts that hold them.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Upstreams by the key that the announce duty gave.
    pub rows: SecondaryMap<UpstreamKey, Row>,
    /// Attempts in flight.
    pub flights: SlotMap<FlightKey, Flight>,
}
