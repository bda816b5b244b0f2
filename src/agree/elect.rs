//! Elections: pre-vote, vote, and a leader that steps down when it loses its quorum.

use {
    super::{
        decide::{Effect, Note, Step},
        messages::Unavailable,
        replicate,
        state::{LeaderState, Role, State},
        wire::{Body, Content, Envelope},
    },
    crate::{clock::Micros, keys::DiskId, storage::Position},
};

/// Divisor of the election time-out that gives the shortest time between two pre-votes.
const PRE_VOTE_DIVISOR: u64 = 3;

/// Divisor of the election time-out that gives the shortest time until an election is repeated.
const RETRY_DIVISOR: u64 = 2;

/// Part (1/n) of a heartbeat interval for which the successor of a leader that resigns waits, so that the
/// other voters know of it.
const SUCCESSION_DIVISOR: u64 = 2;

/// Starts a pre-vote when no message of a leader arrived by the deadline; as a leader, steps down
/// without a quorum or to resign.
pub(super) fn tick(step: &mut Step<'_>) {
    if step.state.is_leader() {
        if !has_quorum(step.state, step.now) {
            let term = step.state.hard.term;
            become_follower(step, term, DiskId(0));
        }
        resign_if_due(step);
        return;
    }
    if step.now < step.state.election_deadline {
        return;
    }
    if step.state.resign_by.is_some() {
        return reset_election_deadline(step);
    }
    if step.state.is_voter() && !step.state.admitted {
        // The others have not confirmed yet that this disk lacks nothing; most do so within a heartbeat.
        step.state.election_deadline = step.after(step.state.settings.heartbeat_ms);
        return;
    }
    reset_election_deadline(step);
    if step.state.is_voter() && step.state.disk_error.is_none() {
        // A pre-vote binds nothing, so it is repeated sooner than an election.
        let part_ms = (step.state.settings.election_ms / PRE_VOTE_DIVISOR).max(1);
        step.state.election_deadline = step.after(part_ms + step.random % part_ms);
        step.state.leader = DiskId(0);
        step.state.role = Role::PreCandidate(vec![step.state.hard.disk]);
        request_votes(step, true);
        if step.state.members().quorum() == 1 {
            start_election(step);
        }
    }
}

/// Whether messages of a quorum arrived within the election time-out, measured by the local clock.
fn has_quorum(state: &State, now: Micros) -> bool {
    let Role::Leader(leader_state) = &state.role else {
        return false;
    };
    let last_contact = replicate::quorum_value(state, now, |disk| {
        let progress = leader_state.progress.get(&disk);
        progress.map_or(Micros(0), |progress| progress.last_contact)
    });
    now < last_contact.plus_millis(state.settings.election_ms)
}

/// Sets the election deadline to one to two election time-outs from now, at random.
fn reset_election_deadline(step: &mut Step<'_>) {
    let election_ms = step.state.settings.election_ms;
    step.state.election_deadline = step.after(election_ms + step.random % election_ms);
}

/// Becomes a follower in `term`, of `leader` or, if that is 0, without a leader. A former leader
/// replies to its pending callers.
pub(super) fn become_follower(step: &mut Step<'_>, term: u64, leader: DiskId) {
    if term > step.state.hard.term {
        step.state.hard.term = term;
        step.state.hard.vote = DiskId(0);
        step.save();
    }
    step.state.leader = leader;
    let role = std::mem::replace(&mut step.state.role, Role::Follower);
    let Role::Leader(leader_state) = role else {
        return;
    };
    reset_election_deadline(step);
    step.note(Note::Deposed);
    for row in &leader_state.submits {
        let (operator_call, result) = (row.operator_call, Err(Unavailable::Unknown));
        step.effects.push(Effect::ReplySubmit {
            operator_call,
            result,
        });
    }
    for row in &leader_state.reads {
        let (operator_call, result) = (row.operator_call, Err(Unavailable::NoQuorum));
        step.effects.push(Effect::ReplyRead {
            operator_call,
            result,
        });
    }
    if let Some((_, Some(operator_call))) = leader_state.change {
        let result = Err(Unavailable::Unknown);
        step.effects.push(Effect::ReplyMembers {
            operator_call,
            result,
        });
    }
}

/// Becomes a follower of the sender of a message that only the leader of its term sends.
pub(super) fn accept_leader(step: &mut Step<'_>, envelope: &Envelope) {
    if envelope.term == step.state.resigned_term {
        // A message that was overtaken by the resignation of its sender.
        become_follower(step, envelope.term, DiskId(0));
    } else {
        become_follower(step, envelope.term, envelope.from);
        step.state.lease_until = step.after(step.state.settings.election_ms);
        reset_election_deadline(step);
    }
    if step.state.hard.cluster == 0 {
        step.state.hard.cluster = envelope.cluster;
        step.save();
    }
}

/// Begins to hand over leadership. New commands are refused, and this replica stands for no election.
pub(super) fn begin_resignation(step: &mut Step<'_>) {
    let by = step.after(step.state.settings.election_ms);
    step.state.resign_by.get_or_insert(by);
    resign_if_due(step);
}

/// As a leader that is about to stop, steps down in favour of a voter once nothing is pending.
fn resign_if_due(step: &mut Step<'_>) {
    let (Some(by), Role::Leader(leader_state)) = (step.state.resign_by, &step.state.role) else {
        return;
    };
    let is_idle = leader_state.submits.is_empty() && leader_state.change.is_none();
    if !is_idle && step.now < by {
        return;
    }
    let Some(successor) = successor(step.state, step.now) else {
        return;
    };
    let (term, local_disk) = (step.state.hard.term, step.state.hard.disk);
    step.note(Note::Resigned);
    let others = step.state.members().rows.clone();
    for row in others.iter().filter(|row| row.disk != local_disk) {
        step.send_now(row.peers, row.disk, Body::Resign { successor });
    }
    become_follower(step, term, DiskId(0));
}

/// As the leader, the voter with the most of the log among those that were heard within an election time-out.
pub(super) fn successor(state: &State, now: Micros) -> Option<DiskId> {
    let Role::Leader(leader_state) = &state.role else {
        return None;
    };
    let rows = leader_state.progress.rows().iter();
    let heard = rows.filter(|(disk, row)| {
        let until = row.last_contact.plus_millis(state.settings.election_ms);
        state.members().is_voter(*disk) && row.has_replied() && now < until
    });
    heard.max_by_key(|(_, row)| row.matched).map(|row| row.0)
}

/// Ends the lease of a leader that resigns. Its successor stands for election at once, the others if that fails.
pub(super) fn handle_resign(step: &mut Step<'_>, envelope: &Envelope, successor: DiskId) {
    let state = &mut *step.state;
    if envelope.term != state.hard.term || envelope.from != state.leader {
        return;
    }
    state.leader = DiskId(0);
    state.resigned_term = envelope.term;
    state.lease_until = step.now;
    let settings = &state.settings;
    let wait_ms = if successor == state.hard.disk {
        settings.heartbeat_ms / SUCCESSION_DIVISOR
    } else {
        settings.election_ms / PRE_VOTE_DIVISOR + step.random % settings.election_ms
    };
    state.election_deadline = step.now.plus_millis(wait_ms);
}

fn request_votes(step: &mut Step<'_>, trial: bool) {
    let term = step.state.hard.term + u64::from(trial);
    let last = step.state.log.last();
    let local_disk = step.state.hard.disk;
    let others = step.state.members().rows.clone();
    for row in others
        .iter()
        .filter(|row| row.voter && row.disk != local_disk)
    {
        step.send(row.peers, row.disk, Body::Ask { trial, term, last });
    }
}

/// Starts an election in a new term. The local vote counts once it is durable.
fn start_election(step: &mut Step<'_>) {
    step.state.hard.term += 1;
    step.state.hard.vote = step.state.hard.disk;
    step.save();
    step.state.role = Role::Candidate(Vec::new());
    // A split vote is known after a round trip and a write.
    let part_ms = (step.state.settings.election_ms / RETRY_DIVISOR).max(1);
    step.state.election_deadline = step.after(part_ms + step.random % part_ms);
    request_votes(step, false);
}

/// Counts the local vote after a write, if the hard state with it is durable.
pub(super) fn count_local_vote(step: &mut Step<'_>) {
    let local_disk = step.state.hard.disk;
    let is_durable = step.state.queue.hard.is_none();
    if let Role::Candidate(votes) = &mut step.state.role
        && is_durable
        && !votes.contains(&local_disk)
    {
        votes.push(local_disk);
        count_votes(step);
    }
}

/// Replies to a candidate's request for a vote or pre-vote.
pub(super) fn handle_ask(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Ask { trial, term, last } = envelope.body else {
        return;
    };
    let granted = if trial {
        would_grant_vote(step, term, last)
    } else {
        grant_vote(step, envelope.from, term, last)
    };
    step.reply(
        envelope,
        Body::Vote {
            trial,
            term,
            granted,
        },
    );
}

/// Whether this replica has a leader, or may have had one before it restarted. It then grants no
/// votes, so that a working leader is not replaced.
fn may_have_leader(step: &Step<'_>) -> bool {
    step.state.is_leader() || step.now < step.state.lease_until
}

fn would_grant_vote(step: &Step<'_>, term: u64, last: Position) -> bool {
    !may_have_leader(step) && term > step.state.hard.term && is_eligible(step, last)
}

/// Whether this replica may vote, and the candidate's log is at least as recent as the local one.
fn is_eligible(step: &Step<'_>, last: Position) -> bool {
    let is_healthy = step.state.admitted && step.state.disk_error.is_none();
    is_healthy && last >= step.state.log.last()
}

fn grant_vote(step: &mut Step<'_>, candidate: DiskId, term: u64, last: Position) -> bool {
    if may_have_leader(step) || term < step.state.hard.term {
        return false;
    }
    if term > step.state.hard.term {
        become_follower(step, term, DiskId(0));
    }
    let vote = step.state.hard.vote;
    let is_vote_free = vote == DiskId(0) || vote == candidate;
    if !is_vote_free || !is_eligible(step, last) {
        return false;
    }
    step.state.hard.vote = candidate;
    step.save();
    reset_election_deadline(step);
    true
}

/// Counts a vote or a pre-vote.
pub(super) fn handle_vote(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Vote {
        trial,
        term,
        granted,
    } = envelope.body
    else {
        return;
    };
    let current_term = step.state.hard.term;
    let votes = match &mut step.state.role {
        Role::PreCandidate(votes) if trial && term == current_term + 1 => votes,
        Role::Candidate(votes) if !trial && term == current_term => votes,
        _ => return,
    };
    if granted && !votes.contains(&envelope.from) {
        votes.push(envelope.from);
    }
    count_votes(step);
}

/// Proceeds to the election or to leadership once a quorum of voters has agreed.
fn count_votes(step: &mut Step<'_>) {
    let members = step.state.members();
    let has_majority = |votes: &Vec<DiskId>| {
        let granted = votes.iter().filter(|disk| members.is_voter(**disk)).count();
        granted >= members.quorum()
    };
    match &step.state.role {
        Role::PreCandidate(votes) if has_majority(votes) => start_election(step),
        Role::Candidate(votes) if has_majority(votes) => become_leader(step),
        _ => {}
    }
}

/// Counts the silence of the others from when they were last heard, not from the election. Half of it is left, as
/// followers hear only their leader, so that healthy ones need the time to reply.
fn begin_silence(step: &mut Step<'_>) {
    let state = &mut *step.state;
    let half_us = state.settings.silent_ms.saturating_mul(1_000) / 2;
    let earliest = Micros(step.now.0.saturating_sub(half_us));
    let members = state.members().clone();
    state
        .heard_at
        .retain(|disk, _| members.with_disk(*disk).is_some());
    for disk in members.rows.iter().map(|row| row.disk) {
        let heard_at = state.heard_at.get(&disk).copied();
        let since = heard_at.unwrap_or(state.started).max(earliest);
        let progress = state
            .leader_state()
            .and_then(|row| row.progress.get_mut(&disk));
        if let Some(progress) = progress {
            progress.silent_since = since;
        }
    }
}

fn become_leader(step: &mut Step<'_>) {
    step.state.leader = step.state.hard.disk;
    step.state.role = Role::Leader(Box::default());
    replicate::sync_progress(step);
    begin_silence(step);
    let first = step.push(&Content::Nothing);
    let leader_state = LeaderState {
        first_index: first.index,
        next_heartbeat: step.now,
        settled_commit: u64::MAX,
        ..step.state.leader_state().cloned().unwrap_or_default()
    };
    step.state.role = Role::Leader(Box::new(leader_state));
    step.note(Note::Elected);
}
