//! Applies committed entries to the configuration, replies to the callers that wait for them, and
//! takes snapshots.

use {
    super::{
        decide::{Effect, Note, Step},
        elect,
        messages::SubmitResult,
        size,
        state::{PendingSubmit, State, Timing, decode_content},
        wire::{Content, Image, Members},
    },
    crate::{
        catalog::{self, Order},
        keys::DiskId,
        policy::{self, Command},
        storage::{Entry, Position, Snapshot},
    },
    std::sync::Arc,
};

/// Applies every committed entry that is not yet applied.
pub(super) fn apply(step: &mut Step<'_>) {
    let versions = |state: &State| (state.machine.version, state.machine.catalog.revision);
    let before = versions(step.state);
    while step.state.applied < step.state.commit {
        let index = step.state.applied + 1;
        let Some(entry) = step.state.log.get(index).cloned() else {
            break;
        };
        step.state.applied = index;
        apply_one(step, &entry);
    }
    if versions(step.state) != before {
        step.effects.push(Effect::Publish);
    }
    take_snapshot(step.state);
}

fn apply_one(step: &mut Step<'_>, entry: &Entry) {
    match decode_content(entry) {
        Some(Content::Command(json)) => command(step, entry.at, &json),
        Some(Content::Order(json)) => order(step, entry.at, &json),
        Some(Content::PackedOrder(packed)) => {
            let json = size::unpack(&packed).unwrap_or_default();
            order(step, entry.at, &json);
        }
        Some(Content::Members(members)) => members_changed(step, entry.at.index, &members),
        Some(Content::Nothing) | None => {}
    }
}

fn command(step: &mut Step<'_>, at: Position, json: &[u8]) {
    let Ok(command) = serde_json::from_slice::<Command>(json) else {
        return;
    };
    let result = policy::apply(Arc::make_mut(&mut step.state.machine), command);
    reply(step, at, Ok(result));
}

fn order(step: &mut Step<'_>, at: Position, json: &[u8]) {
    let Ok(order) = serde_json::from_slice::<Order>(json) else {
        return;
    };
    let machine = Arc::make_mut(&mut step.state.machine);
    let result = catalog::apply(Arc::make_mut(&mut machine.catalog), order);
    reply(step, at, Ok(result));
}

/// Replies to the operator call that waits for the entry at `at`, if there is one.
fn reply(step: &mut Step<'_>, at: Position, result: SubmitResult) {
    let now = step.now;
    let Some(submit) = take_submit(step.state, at) else {
        return;
    };
    let operator_call = submit.operator_call;
    step.effects.push(Effect::ReportTiming {
        operator_call,
        at,
        timing: Timing {
            committed: now,
            ..submit.timing
        },
    });
    step.effects.push(Effect::ReplySubmit {
        operator_call,
        result,
    });
}

/// Removes and returns the command that waits for the entry at `at`.
fn take_submit(state: &mut State, at: Position) -> Option<PendingSubmit> {
    let submits = &mut state.leader_state()?.submits;
    submits.pop_front_if(|row| row.at == at)
}

fn members_changed(step: &mut Step<'_>, index: u64, members: &Members) {
    step.note(Note::MembersChanged);
    let local_disk = step.state.hard.disk;
    let Some(leader_state) = step.state.leader_state() else {
        return;
    };
    if let Some((_, operator_call)) = leader_state.change.take_if(|change| change.0 == index)
        && let Some(operator_call) = operator_call
    {
        let result = Ok(Ok(()));
        step.effects.push(Effect::ReplyMembers {
            operator_call,
            result,
        });
    }
    if !members.is_voter(local_disk) && !step.state.is_voter() {
        let term = step.state.hard.term;
        elect::become_follower(step, term, DiskId(0));
    }
}

/// Takes a snapshot once `snapshot_entries` entries were applied since the last one.
fn take_snapshot(state: &mut State) {
    let before = state.snapshot.as_ref().map_or(0, |row| row.at.index);
    if state.applied < before + state.settings.snapshot_entries {
        return;
    }
    let index = state.applied;
    let Some(term) = state.log.term_at(index) else {
        return;
    };
    let row = state.members.iter().rposition(|(from, _)| *from <= index);
    let Some((_, members)) = row.and_then(|row| state.members.get(row)) else {
        return;
    };
    let snapshot = Snapshot {
        at: Position { term, index },
        body: Image::encode(members, &state.machine),
    };
    state.members.drain(..row.unwrap_or(0));
    state.queue.snapshot = Some(snapshot.clone());
    state.snapshot = Some(snapshot);
    // Half a snapshot interval of entries remains in memory, so that members that are only slightly
    // behind need no snapshot.
    let keep = state.settings.snapshot_entries / 2;
    state
        .log
        .compact(index.saturating_sub(keep).max(state.log.base().index));
}
