//! Invariants of the replicas under any loss of messages and disks.

use {
    super::super::{
        state::decode_content,
        wire::{Body, Content, Envelope},
    },
    crate::{
        keys::DiskId,
        policy::{Accepted, Rejection},
        sorted::Sorted,
        storage::{Batch, Entry, HardState, Recovered},
    },
};

/// History of the cluster as plain lists, to check the replicas against.
#[derive(Default)]
pub(super) struct Oracle {
    /// Committed entries by index, from the replica that committed each first.
    pub(super) committed: Sorted<u64, Entry>,
    /// Results of commands, by id.
    pub(super) results: Sorted<String, Result<Accepted, Rejection>>,
    /// Id of the command that made each version.
    pub(super) winners: Sorted<u64, String>,
    pub(super) leaders: Sorted<u64, DiskId>,
    /// Index and voters of the latest committed members.
    pub(super) voters: (u64, Vec<DiskId>),
    /// Candidate for which each disk voted in each term.
    votes: Sorted<(DiskId, u64), DiskId>,
    /// Newest version that any result has shown.
    pub(super) newest_version: u64,
    pub(super) accepted: usize,
    pub(super) reads: usize,
    pub(super) changes: usize,
    pub(super) unavailable: usize,
}

/// Writes a batch to a simulated disk, as the storage duty does.
pub(super) fn write_to_disk(disk: &mut Recovered, batch: &Batch) {
    disk.hard = batch.hard.unwrap_or(disk.hard);
    if let Some(snapshot) = &batch.snapshot {
        let covers = disk.entries.iter().any(|row| row.at == snapshot.at);
        let keep = covers && !batch.reset;
        disk.entries
            .retain(|row| keep && row.at.index > snapshot.at.index);
        disk.snapshot = Some(snapshot.clone());
        disk.commit = disk.commit.max(snapshot.at.index);
    }
    let base = disk.snapshot.as_ref().map_or(0, |row| row.at.index);
    for entry in &batch.entries {
        disk.entries.retain(|row| row.at.index < entry.at.index);
        if entry.at.index > base {
            disk.entries.push(entry.clone());
        }
    }
    if !batch.entries.is_empty() {
        disk.commit = disk.commit.max(batch.commit);
    }
}

/// Whether a disk can give no other vote in `term`: it holds the vote for `candidate`, or a later term. Two
/// votes of consecutive terms may share a write, which then holds the later one only.
fn is_durable(hard: HardState, term: u64, candidate: DiskId) -> bool {
    hard.term > term || (hard.term, hard.vote) == (term, candidate)
}

/// Checks that the state that a message acknowledges is on the sender's disk before it is sent.
pub(super) fn check_promise(disk: &Recovered, envelope: &Envelope) {
    let hard = disk.hard;
    match envelope.body {
        Body::Vote {
            trial: false,
            granted: true,
            term,
            ..
        } => assert!(
            is_durable(hard, term, envelope.to),
            "vote not durable: {hard:?}, {envelope:?}"
        ),
        Body::Ask {
            trial: false, term, ..
        } => assert!(
            is_durable(hard, term, hard.disk),
            "local vote not durable: {hard:?}, {envelope:?}"
        ),
        Body::Appended {
            agrees: true,
            matched,
            ..
        } => {
            let base = disk.snapshot.as_ref().map_or(0, |row| row.at.index);
            let last = disk.entries.last().map_or(base, |entry| entry.at.index);
            assert!(last >= matched, "{matched} acknowledged, {last} durable");
        }
        _ => {}
    }
    assert!(hard.term >= envelope.term, "term not durable");
}

impl Oracle {
    /// Checks that no disk votes for two candidates in one term, whatever it holds when it says so.
    pub(super) fn check_vote(&mut self, envelope: &Envelope) {
        let vote = match envelope.body {
            Body::Vote {
                trial: false,
                granted: true,
                term,
                ..
            } => (term, envelope.to),
            Body::Ask {
                trial: false, term, ..
            } => (term, envelope.from),
            _ => return,
        };
        let (term, candidate) = vote;
        let before = self.votes.insert((envelope.from, term), candidate);
        assert!(
            before.is_none_or(|before| before == candidate),
            "two votes in one term: {envelope:?}"
        );
    }

    /// Checks that two consecutive memberships differ by at most one voter, so that their quorums
    /// overlap.
    pub(super) fn check_members(&mut self, entry: &Entry) {
        let Some(Content::Members(members)) = decode_content(entry) else {
            return;
        };
        let now: Vec<DiskId> = members.voters().collect();
        let (from, before) = std::mem::replace(&mut self.voters, (entry.at.index, now.clone()));
        // A membership in between may have been compacted into a snapshot before it was observed.
        let is_complete =
            (from + 1..entry.at.index).all(|index| self.committed.get(&index).is_some());
        let removed = before.iter().filter(|disk| !now.contains(disk)).count();
        let new = now.iter().filter(|disk| !before.contains(disk)).count();
        let overlaps = from == 0 || !is_complete || removed + new <= 1;
        assert!(
            overlaps,
            "{removed} voters removed and {new} added in one change"
        );
    }
}
