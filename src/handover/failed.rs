//! The step at which a read failed and what it waited for, for the log and the metrics.

use {
    super::spent::Spent,
    crate::{
        agree::Unavailable,
        context::Context,
        observe::{Event, report},
    },
    std::{fmt, net::SocketAddr},
};

/// Step of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadStep {
    /// Find the leader; none was known.
    FindLeader,
    /// Have a quorum confirm this replica, which leads.
    Confirm,
    /// Have the leader at this peer listener do the same.
    CallLeader(SocketAddr),
    /// Bring the local catalogue, found at one revision, up to another.
    CatchUp {
        /// Revision that a quorum confirmed.
        expected: u64,
        /// Revision of the local catalogue.
        found: u64,
    },
}

impl ReadStep {
    /// Name of the metrics counter of reads that failed at this step.
    pub(super) const fn counter(&self) -> &'static str {
        match self {
            Self::FindLeader => "read_without_leader",
            Self::Confirm => "read_not_confirmed",
            Self::CallLeader(_) => "read_not_confirmed_by_leader",
            Self::CatchUp { .. } => "read_not_caught_up",
        }
    }
}

impl fmt::Display for ReadStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FindLeader => f.write_str("no leader is known"),
            Self::Confirm => f.write_str("this control VM leads and no quorum confirmed it"),
            Self::CallLeader(leader) => write!(f, "the leader {leader} did not confirm it"),
            Self::CatchUp { expected, found } => {
                write!(
                    f,
                    "the local catalogue is at revision {found} of {expected}"
                )
            }
        }
    }
}

/// A read that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FailedRead {
    /// Step at which it failed.
    pub(super) step: ReadStep,
    /// Reason that its caller gets.
    pub(super) reason: Unavailable,
}

impl FailedRead {
    /// Counts and logs the failure.
    pub(super) fn report(&self, spent: &Spent, context: &Context) {
        context.metrics.count(self.step.counter(), 1);
        let (step, reason) = (&self.step, self.reason.counter());
        report(
            Event::READ_FAILED,
            format_args!("{step}: {reason}; {spent}"),
        );
    }
}
