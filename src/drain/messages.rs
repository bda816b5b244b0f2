//! Messages of the drain duty.

use {
    crate::policy::{Drain, Policy},
    std::sync::Arc,
};

/// Cause of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// An operator ordered it.
    Operator,
    /// The upstream announced that it is leaving.
    Leaving,
    /// The lease of the upstream expired.
    Expired,
    /// The upstream restarted, or moved to another home.
    Moved,
}

impl Cause {
    /// Name of the cause in responses and logs.
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

/// An upstream that gets no new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainingUpstream {
    /// Name of the upstream.
    pub name: String,
    /// Cause of the drain; `Operator` also if the VM or availability zone is drained.
    pub cause: Cause,
    /// Number of its slots still in use.
    pub left: u32,
}

/// Progress of a drain on this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Object of the drain.
    pub drain: Drain,
    /// Cause of the drain.
    pub cause: Cause,
    /// Milliseconds since the drain started.
    pub age_ms: u64,
    /// Number of requests in flight.
    pub left: u32,
    /// Duration of the drain in milliseconds; `None` until no request is in flight.
    pub took_ms: Option<u64>,
}

/// Messages that the duty receives.
pub enum Message {
    /// The upstreams that get no new requests, sent whenever they or the policy change.
    Update {
        /// Configuration in force.
        policy: Arc<Policy>,
        /// Upstreams that get no new requests, one row per incarnation.
        draining: Vec<DrainingUpstream>,
    },
    /// Query for the progress of every drain, running ones first.
    Read(Box<dyn FnOnce(Vec<Progress>) + Send>),
}
