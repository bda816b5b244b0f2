//! Drains on this VM, running and completed.

use {
    super::messages::Cause,
    crate::{clock::Micros, policy::Drain, sorted::Sorted},
};

/// Number of drains above which the oldest completed ones are evicted.
pub const MAX_ROWS: usize = 64;

/// Progress of one drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Time at which the drain started.
    pub since: Micros,
    /// Number of requests in flight.
    pub left: u32,
    /// Time at which the last request in flight completed.
    pub done: Option<Micros>,
}

/// Drains on this VM, running and completed.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Drains by target and cause.
    pub rows: Sorted<(Drain, Cause), Row>,
}

impl State {
    /// Returns whether a drain of this VM or its zone is in progress, whose completion is detected only
    /// by the number of requests in flight on this VM.
    #[must_use]
    pub fn has_vm_drain(&self) -> bool {
        let mut rows = self.rows.rows().iter();
        rows.any(|((drain, _), row)| !matches!(drain, Drain::Upstream(_)) && row.done.is_none())
    }

    /// Number of drains that have not completed.
    #[must_use]
    pub fn running(&self) -> usize {
        let rows = self.rows.rows().iter();
        rows.filter(|(_, row)| row.done.is_none()).count()
    }
}
