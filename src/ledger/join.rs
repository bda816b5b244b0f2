//! How a ledger without memory comes to vote. Without I/O or clock.
//!
//! A majority that counted this ledger's lost vote has at least `quorum - 1` votes on the others,
//! so that `members - quorum + 1` of them together remember every such key.

use super::messages::Status;

/// Milliseconds that a blank ledger waits before it copies: longer than any attempt may gather
/// votes, so that no attempt still counts a vote of the lost incarnation.
pub const QUARANTINE_MS: u64 = 12_000;

/// What a ledger that does not vote should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Nothing yet.
    Wait,
    /// Every ledger of the group is blank, or was when this one already was: vote.
    Found(Vec<u64>),
    /// Copy every row of these ledgers, then vote.
    Copy(Vec<usize>),
}

/// Votes that make a majority of `members`.
///
/// ```
/// assert_eq!(siskinstep::ledger::join::quorum(3), 2);
/// ```
#[must_use]
pub const fn quorum(members: usize) -> usize {
    members / 2 + 1
}

/// Chooses what to do from what the other ledgers of the group say; `None` for those that are
/// silent. The ledger's disk is `age_ms` old, and keys are forgotten after `expiry_ms`.
///
/// ```
/// use siskinstep::ledger::{Status, join::{self, Plan}};
/// assert_eq!(join::plan(&Status::default(), &[None, None], 0, 60_000), Plan::Wait);
/// ```
#[must_use]
pub fn plan(me: &Status, others: &[Option<Status>], age_ms: u64, expiry_ms: u64) -> Plan {
    if age_ms >= expiry_ms {
        // Whatever was forgotten would have been by now.
        return Plan::Copy(Vec::new());
    }
    let known: Vec<&Status> = others.iter().flatten().collect();
    let same = |status: &&&Status| status.founders.contains(&me.incarnation);
    if let Some(founder) = known.iter().find(same) {
        return Plan::Found(founder.founders.clone());
    }
    let blank = |status: &&Status| !status.sure && status.founders.is_empty();
    if known.len() == others.len() && known.iter().all(blank) {
        let founders = known.iter().map(|status| status.incarnation);
        return Plan::Found(founders.chain([me.incarnation]).collect());
    }
    let members = others.len() + 1;
    let enough = members - quorum(members) + 1;
    let sure = |at: &usize| others[*at].as_ref().is_some_and(|status| status.sure);
    let sources: Vec<usize> = (0..others.len()).filter(sure).collect();
    if age_ms >= QUARANTINE_MS && sources.len() >= enough {
        return Plan::Copy(sources);
    }
    Plan::Wait
}
