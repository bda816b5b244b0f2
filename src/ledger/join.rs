//! Decides when a blank ledger may start to vote, without I/O or clock.
//!
//! A majority that included this ledger's lost vote has at least `quorum - 1` votes on the other
//! ledgers, so any `members - quorum + 1` of those together have every such key.

use {super::messages::Status, std::time::Duration};

/// Time in milliseconds that a blank ledger waits before it copies. It exceeds the longest vote
/// collection, so that no open attempt still counts a vote of the lost incarnation.
pub const QUARANTINE_MS: u64 = 12_000;

/// Next action of a ledger that does not vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Wait and poll again.
    Wait,
    /// Start to vote with these founders: all ledgers of the group are blank, or were blank
    /// together with this one when another of them founded the group.
    FoundGroup(Vec<u64>),
    /// Copy every row of the ledgers with these indices, then start to vote.
    CopyFrom(Vec<usize>),
}

/// Number of votes that form a majority of `members`.
///
/// ```
/// assert_eq!(siskinstep::ledger::join::quorum(3), 2);
/// ```
#[must_use]
pub const fn quorum(members: usize) -> usize {
    members / 2 + 1
}

/// Milliseconds for which a disk has certainly been in use: by the wall clock, but no longer than this process waits,
/// as a step of the wall clock must not end the quarantine of a lost disk.
#[must_use]
pub fn age_ms(created_ms: u64, wall_ms: u64, waited: Duration) -> u64 {
    let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
    wall_ms.saturating_sub(created_ms).min(waited_ms)
}

/// Plans from the statuses of the other ledgers of the group, `None` for unreachable ones.
///
/// `age_ms` is the time since the disk of this ledger came into use, `expiry_ms` the retention of
/// keys.
///
/// ```
/// use siskinstep::ledger::{Status, join::{self, Plan}};
/// assert_eq!(join::plan(&Status::default(), &[None, None], 0, 60_000), Plan::Wait);
/// ```
#[must_use]
pub fn plan(local: &Status, others: &[Option<Status>], age_ms: u64, expiry_ms: u64) -> Plan {
    if age_ms >= expiry_ms {
        // All keys on the lost disk have expired by now.
        return Plan::CopyFrom(Vec::new());
    }
    let known: Vec<&Status> = others.iter().flatten().collect();
    let founded_with_local = |status: &&&Status| status.founders.contains(&local.incarnation);
    if let Some(founder) = known.iter().find(founded_with_local) {
        return Plan::FoundGroup(founder.founders.clone());
    }
    let blank = |status: &&Status| !status.is_voting && status.founders.is_empty();
    if known.len() == others.len() && known.iter().all(blank) {
        let founders = known.iter().map(|status| status.incarnation);
        return Plan::FoundGroup(founders.chain([local.incarnation]).collect());
    }
    let members = others.len() + 1;
    let required = members - quorum(members) + 1;
    let is_voting = |at: &usize| others[*at].as_ref().is_some_and(|status| status.is_voting);
    let sources: Vec<usize> = (0..others.len()).filter(is_voting).collect();
    if age_ms >= QUARANTINE_MS && sources.len() >= required {
        return Plan::CopyFrom(sources);
    }
    Plan::Wait
}
