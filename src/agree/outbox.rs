//! Messages that wait to be sent to one peer, one call at a time.

use {
    super::wire::{Body, Envelope},
    std::collections::VecDeque,
};

/// Messages that wait for one peer; more are dropped, and the protocol sends them again.
const MAX_MESSAGES: usize = 16;

/// Waiting messages, oldest first. The leader sends an append for each commit and each read, which may be more than
/// calls to a distant peer can carry one after the other, so an append takes the place of one that still waits.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: VecDeque<Envelope>,
}

impl Outbox {
    /// Adds a message. Returns false if it was dropped.
    pub(super) fn push(&mut self, mut envelope: Envelope) -> bool {
        if let Some(last) = self.waiting.back_mut()
            && supersedes(&mut envelope, last)
        {
            *last = envelope;
            return true;
        }
        if self.waiting.len() >= MAX_MESSAGES {
            return false;
        }
        self.waiting.push_back(envelope);
        true
    }

    /// Takes the oldest message.
    pub(super) fn pop(&mut self) -> Option<Envelope> {
        self.waiting.pop_front()
    }
}

/// Whether `next` says all that `last` says, both being appends of the same leader to the same disk. An append without
/// entries takes over those of the one that it supersedes.
fn supersedes(next: &mut Envelope, last: &mut Envelope) -> bool {
    let identity = |row: &Envelope| (row.cluster, row.from, row.boot, row.term, row.to);
    if identity(next) != identity(last) {
        return false;
    }
    let Body::Append { prev, entries, .. } = &mut next.body else {
        return false;
    };
    let Body::Append {
        prev: last_prev,
        entries: last_entries,
        ..
    } = &mut last.body
    else {
        return false;
    };
    if entries.is_empty() && !last_entries.is_empty() {
        *prev = *last_prev;
        *entries = std::mem::take(last_entries);
    }
    true
}
