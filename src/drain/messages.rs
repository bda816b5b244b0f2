//! Messages of the drain duty.

use {
    crate::policy::{Drain, Policy},
    std::sync::Arc,
};

/// Why something is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// An operator ordered it.
    Operator,
    /// The upstream said that it is leaving.
    Leaving,
    /// The upstream's lease lapsed.
    Expired,
    /// The upstream restarted, or has another home.
    Moved,
}

impl Cause {
    /// The name used in answers and logs.
    ///
    /// ```
    /// assert_eq!(siskinstep::drain::Cause::Leaving.name(), "leaving");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Leaving => "leaving",
            Self::Expired => "lapsed",
            Self::Moved => "moved",
        }
    }
}

/// An upstream that gets no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainingUpstream {
    /// Its name.
    pub name: String,
    /// Why; `Operator` also when its VM or availability zone is drained.
    pub cause: Cause,
    /// Slots that it still holds.
    pub left: u32,
}

/// How far a drain has come on this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// What is drained.
    pub drain: Drain,
    /// Why.
    pub cause: Cause,
    /// Milliseconds since it began.
    pub age_ms: u64,
    /// Requests in flight.
    pub left: u32,
    /// Milliseconds that it took, once nothing was in flight.
    pub took_ms: Option<u64>,
}

/// What the duty is told.
pub enum Message {
    /// The upstreams that get no new work, whenever that changes.
    Update {
        /// Configuration in force.
        policy: Arc<Policy>,
        /// Upstreams that get no new work, one row a life.
        draining: Vec<DrainingUpstream>,
    },
    /// Asks for the progress of every drain, running ones first.
    Read(Box<dyn FnOnce(Vec<Progress>) + Send>),
}
