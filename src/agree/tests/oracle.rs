//! What replicas must keep, whatever becomes of messages and disks.

use {
    super::super::{
        state::content,
        wire::{Body, Content, Envelope},
    },
    crate::{
        keys::DiskKey,
        policy::{Accepted, Rejection},
        sorted::Sorted,
        storage::{Batch, Entry, Recovered},
    },
};

/// What must hold, as plain lists.
#[derive(Default)]
pub(super) struct Oracle {
    /// Every committed entry by index, whoever committed it first.
    pub(super) chosen: Sorted<u64, Entry>,
    /// Every answer to a command by id.
    pub(super) answers: Sorted<String, Result<Accepted, Rejection>>,
    /// The command that made each version.
    pub(super) winners: Sorted<u64, String>,
    pub(super) leaders: Sorted<u64, DiskKey>,
    /// Index and voters of the latest committed members.
    pub(super) voters: (u64, Vec<DiskKey>),
    /// Newest version that any answer has shown.
    pub(super) newest: u64,
    pub(super) accepted: usize,
    pub(super) reads: usize,
    pub(super) changes: usize,
    pub(super) unavailable: usize,
}

/// Brings a batch to a disk, as the storage duty does.
pub(super) fn reach(disk: &mut Recovered, batch: &Batch) {
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

/// What a message promises must be on the sender's disk before the message leaves.
pub(super) fn check_promise(disk: &Recovered, envelope: &Envelope) {
    let hard = disk.hard;
    match envelope.body {
        Body::Vote {
            trial: false,
            granted: true,
            term,
            ..
        } => assert_eq!(
            (hard.term, hard.vote),
            (term, envelope.to),
            "vote not durable"
        ),
        Body::Ask {
            trial: false, term, ..
        } => assert_eq!(
            (hard.term, hard.vote),
            (term, hard.disk),
            "own vote not durable"
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
    /// Two memberships that follow each other differ by at most one voter, so that quorums overlap.
    pub(super) fn check_members(&mut self, entry: &Entry) {
        let Some(Content::Members(members)) = content(entry) else {
            return;
        };
        let now: Vec<DiskKey> = members.voters().collect();
        let (from, before) = std::mem::replace(&mut self.voters, (entry.at.index, now.clone()));
        // A membership between the two may have gone into a snapshot unseen.
        let whole = (from + 1..entry.at.index).all(|index| self.chosen.get(&index).is_some());
        let gone = before.iter().filter(|disk| !now.contains(disk)).count();
        let new = now.iter().filter(|disk| !before.contains(disk)).count();
        let overlap = from == 0 || !whole || gone + new <= 1;
        assert!(overlap, "{gone} voters went and {new} came at once");
    }
}
