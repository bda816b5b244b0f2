//! Snapshots for members whose next entry is no longer in the leader's log.

use {
    super::{
        decide::{Effect, Step},
        elect, replicate,
        state::State,
        wire::{Body, Envelope, Image, Member},
    },
    crate::storage::{Batch, Position, Snapshot},
    bytes::{Bytes, BytesMut},
    std::sync::Arc,
};

const MAX_CHUNK_BYTES: usize = 128 << 10;

/// Sends the next chunk of the latest snapshot.
pub(super) fn send(step: &mut Step<'_>, row: &Member) {
    let Some(snapshot) = step.state.snapshot.clone() else {
        return;
    };
    let now = step.now;
    let Some(leader_state) = step.state.leader_state() else {
        return;
    };
    let Some(progress) = leader_state.progress.get_mut(&row.disk) else {
        return;
    };
    if progress.install.0 != snapshot.at {
        progress.install = (snapshot.at, 0);
    }
    progress.in_flight = Some(now);
    let offset = progress.install.1;
    let start = usize::try_from(offset)
        .unwrap_or(usize::MAX)
        .min(snapshot.body.len());
    let end = snapshot.body.len().min(start + MAX_CHUNK_BYTES);
    let body = Body::Install {
        at: snapshot.at,
        offset,
        total: snapshot.body.len() as u64,
        part: snapshot.body.slice(start..end),
        sent: now.0,
    };
    step.send_now(row.peers, row.disk, body);
}

/// Handles a chunk of the leader's snapshot on a follower.
pub(super) fn handle_install(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Install {
        at,
        offset,
        total,
        ref part,
        sent,
    } = envelope.body
    else {
        return;
    };
    if envelope.term < step.state.hard.term {
        return replicate::acknowledge(step, envelope, false, 0, sent);
    }
    elect::accept_leader(step, envelope);
    if at.index <= step.state.commit {
        // Committed entries are the same on all replicas, so this snapshot adds nothing.
        return replicate::acknowledge(step, envelope, true, at.index, sent);
    }
    let body = append_chunk(step.state, at, offset, part);
    if (body.len() as u64) < total {
        let received = body.len() as u64;
        return step.reply(envelope, Body::Installed { at, received, sent });
    }
    step.state.incoming = None;
    if load_snapshot(step, Snapshot { at, body }) {
        replicate::acknowledge(step, envelope, true, at.index, sent);
    }
}

/// Appends a chunk to the part of the snapshot that was received, if it is the next one. Returns
/// the bytes received.
fn append_chunk(state: &mut State, at: Position, offset: u64, part: &Bytes) -> Bytes {
    let mut body = match state.incoming.take() {
        Some((position, body)) if position == at => body,
        _ => BytesMut::new(),
    };
    if body.len() as u64 == offset {
        body.extend_from_slice(part);
    }
    let received = body.clone().freeze();
    state.incoming = Some((at, body));
    received
}

/// Replaces the log up to the snapshot, and the state machine, by the snapshot; false if it cannot
/// be decoded.
fn load_snapshot(step: &mut Step<'_>, snapshot: Snapshot) -> bool {
    let Some((members, policy)) = Image::decode(&snapshot.body) else {
        return false;
    };
    let at = snapshot.at;
    let state = &mut *step.state;
    let keeps_tail = state.log.term_at(at.index) == Some(at.term);
    if keeps_tail {
        state.log.compact(at.index);
        state.members.retain(|(from, _)| *from > at.index);
    } else {
        state.truncate_from(state.commit + 1);
        state.log = super::log::Log::new(at, Vec::new());
        state.members.clear();
    }
    state.members.insert(0, (at.index, members));
    state.queue.merge(Batch {
        snapshot: Some(snapshot.clone()),
        reset: !keeps_tail,
        ..Batch::default()
    });
    state.snapshot = Some(snapshot);
    state.commit = at.index;
    state.applied = at.index;
    state.machine = Arc::new(policy);
    step.effects.push(Effect::Publish);
    true
}

/// Handles a follower's report of how much of the snapshot it has received.
pub(super) fn handle_installed(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Installed { at, received, sent } = envelope.body else {
        return;
    };
    let Some(progress) = replicate::record_contact(step, envelope, sent) else {
        return;
    };
    if progress.install.0 == at {
        progress.install.1 = received;
    }
}
