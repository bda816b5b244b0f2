//! The drains that run or have ended on this VM.

use {
    super::messages::Cause,
    crate::{clock::Micros, policy::Drain, sorted::Sorted},
};

/// Ended drains that are remembered.
pub const REMEMBERED: usize = 64;

/// One drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// When it began.
    pub since: Micros,
    /// Requests in flight.
    pub left: u32,
    /// When nothing was in flight any more.
    pub done: Option<Micros>,
}

/// The drains that run or have ended on this VM.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Rows by what is drained and why.
    pub rows: Sorted<(Drain, Cause), Row>,
}

impl State {
    /// Whether the end of a drain shows only in the count of requests in flight on this VM.
    #[must_use]
    pub fn is_counting(&self) -> bool {
        let mut rows = self.rows.rows().iter();
        rows.any(|((drain, _), row)| !matches!(drain, Drain::Upstream(_)) && row.done.is_none())
    }

    /// Drains that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        let rows = self.rows.rows().iter();
        rows.filter(|(_, row)| row.done.is_none()).count()
    }
}
