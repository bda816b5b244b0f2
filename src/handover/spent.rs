//! Where the time of a call went, for the log.

use {
    crate::agree::SubmitResult,
    std::{fmt, time::Duration},
};

/// Longest text of a rejection in a line of the log, in characters.
const MAX_REJECTION_CHARS: usize = 200;

/// Parts of the time of a call to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Spent {
    /// Wait for the end of an election.
    pub(super) election: Duration,
    /// Wait for other calls to the leader to end.
    pub(super) permit: Duration,
    /// Wait for the leader's responses, or for the log of this replica.
    pub(super) response: Duration,
    /// Wait for the local catalogue to reach the revision of a read.
    pub(super) catch_up: Duration,
    /// Control VMs that the call was sent to.
    pub(super) tries: usize,
}

impl fmt::Display for Spent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "waited {} ms for a leader, {} ms for other calls, {} ms for {} responses",
            self.election.as_millis(),
            self.permit.as_millis(),
            self.response.as_millis(),
            self.tries
        )?;
        if self.catch_up.is_zero() {
            return Ok(());
        }
        write!(f, ", {} ms to catch up", self.catch_up.as_millis())
    }
}

/// Describes the result of an order in a few words.
pub(super) fn outcome(result: &SubmitResult) -> String {
    match result {
        Ok(Ok(accepted)) => format!("accepted, revision {}", accepted.version),
        Ok(Err(rejection)) => {
            let text = rejection.to_string();
            let text: String = text.chars().take(MAX_REJECTION_CHARS).collect();
            format!("rejected, {text}")
        }
        Err(reason) => reason.counter().to_owned(),
    }
}
