//! Elections: pre-vote, vote, and the leader that gives up without a quorum.

use {
    super::{
        decide::{Effect, Note, Step},
        messages::Unavailable,
        replicate,
        state::{Leading, Role, State},
        wire::{Body, Content, Envelope},
    },
    crate::{clock::Micros, keys::DiskKey, storage::Position},
};

/// Stands for election when no leader is heard; gives up the lead when no quorum is.
pub(super) fn tick(step: &mut Step<'_>) {
    if step.state.leads() {
        if !has_quorum(step.state, step.now) {
            let term = step.state.hard.term;
            follow(step, term, DiskKey(0));
        }
        return;
    }
    if step.now < step.state.deadline {
        return;
    }
    rest(step);
    let may_stand = step.state.votes() && step.state.admitted && step.state.disk_error.is_none();
    if may_stand {
        step.state.leader = DiskKey(0);
        step.state.role = Role::Trial(vec![step.state.hard.disk]);
        ask_all(step, true);
        if step.state.members().quorum() == 1 {
            stand(step);
        }
    }
}

/// Whether a quorum was heard within the election time-out, on this replica's own clock.
fn has_quorum(state: &State, now: Micros) -> bool {
    let Role::Leader(leading) = &state.role else {
        return false;
    };
    let heard = replicate::quorum_of(state, now, |disk| {
        let progress = leading.progress.get(&disk);
        progress.map_or(Micros(0), |progress| progress.heard)
    });
    now < heard.plus_millis(state.settings.election_ms)
}

/// Waits for a random while before standing for election.
fn rest(step: &mut Step<'_>) {
    let most = step.state.settings.election_ms;
    step.state.deadline = step.after(most + step.random % most);
}

/// Follows `leader`, or nobody, in `term`; what waited for this leader is answered.
pub(super) fn follow(step: &mut Step<'_>, term: u64, leader: DiskKey) {
    if term > step.state.hard.term {
        step.state.hard.term = term;
        step.state.hard.vote = DiskKey(0);
        step.save();
    }
    step.state.leader = leader;
    let role = std::mem::replace(&mut step.state.role, Role::Follower);
    let Role::Leader(leading) = role else {
        return;
    };
    rest(step);
    step.note(Note::Deposed);
    for row in &leading.submits {
        let (ticket, answer) = (row.ticket, Err(Unavailable::Unknown));
        step.out.push(Effect::Answer { ticket, answer });
    }
    for row in &leading.reads {
        let (ticket, answer) = (row.ticket, Err(Unavailable::NoQuorum));
        step.out.push(Effect::Read { ticket, answer });
    }
    if let Some((_, Some(ticket))) = leading.change {
        let answer = Err(Unavailable::Unknown);
        step.out.push(Effect::Changed { ticket, answer });
    }
}

/// A valid leader was heard.
pub(super) fn heard_leader(step: &mut Step<'_>, envelope: &Envelope) {
    follow(step, envelope.term, envelope.from);
    step.state.heard = step.now;
    rest(step);
    if step.state.hard.cluster == 0 {
        step.state.hard.cluster = envelope.cluster;
        step.save();
    }
}

fn ask_all(step: &mut Step<'_>, trial: bool) {
    let term = step.state.hard.term + u64::from(trial);
    let last = step.state.log.last();
    let own = step.state.hard.disk;
    let others = step.state.members().rows.clone();
    for row in others.iter().filter(|row| row.voter && row.disk != own) {
        step.send(row.peers, row.disk, Body::Ask { trial, term, last });
    }
}

/// Stands for election in a new term. The own vote counts once it is durable.
fn stand(step: &mut Step<'_>) {
    step.state.hard.term += 1;
    step.state.hard.vote = step.state.hard.disk;
    step.save();
    step.state.role = Role::Candidate(Vec::new());
    rest(step);
    ask_all(step, false);
}

/// Counts the own vote after a write, if the write held it.
pub(super) fn count_own_vote(step: &mut Step<'_>) {
    let own = step.state.hard.disk;
    let durable = step.state.queue.hard.is_none();
    if let Role::Candidate(votes) = &mut step.state.role
        && durable
        && !votes.contains(&own)
    {
        votes.push(own);
        count(step);
    }
}

/// Answers a candidate.
pub(super) fn ask(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Ask { trial, term, last } = envelope.body else {
        return;
    };
    let granted = if trial {
        would_vote(step, term, last)
    } else {
        give_vote(step, envelope.from, term, last)
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

/// A replica that has a leader, or may have had one before it restarted, helps nobody else.
fn may_have_leader(step: &Step<'_>) -> bool {
    let lease = step.state.settings.election_ms;
    step.state.leads() || step.now < step.state.heard.plus_millis(lease)
}

fn would_vote(step: &Step<'_>, term: u64, last: Position) -> bool {
    !may_have_leader(step) && term > step.state.hard.term && is_eligible(step, last)
}

/// Whether this replica can stand for a vote, and the candidate's log holds all of its own.
fn is_eligible(step: &Step<'_>, last: Position) -> bool {
    let sound = step.state.admitted && step.state.disk_error.is_none();
    sound && last >= step.state.log.last()
}

fn give_vote(step: &mut Step<'_>, candidate: DiskKey, term: u64, last: Position) -> bool {
    if may_have_leader(step) || term < step.state.hard.term {
        return false;
    }
    if term > step.state.hard.term {
        follow(step, term, DiskKey(0));
    }
    let vote = step.state.hard.vote;
    let free = vote == DiskKey(0) || vote == candidate;
    if !free || !is_eligible(step, last) {
        return false;
    }
    step.state.hard.vote = candidate;
    step.save();
    rest(step);
    true
}

/// Counts a vote.
pub(super) fn vote(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Vote {
        trial,
        term,
        granted,
    } = envelope.body
    else {
        return;
    };
    let own = step.state.hard.term;
    let votes = match &mut step.state.role {
        Role::Trial(votes) if trial && term == own + 1 => votes,
        Role::Candidate(votes) if !trial && term == own => votes,
        _ => return,
    };
    if granted && !votes.contains(&envelope.from) {
        votes.push(envelope.from);
    }
    count(step);
}

/// Goes on when a quorum of voters agrees.
fn count(step: &mut Step<'_>) {
    let members = step.state.members();
    let agreed = |votes: &Vec<DiskKey>| {
        let yes = votes.iter().filter(|disk| members.votes(**disk)).count();
        yes >= members.quorum()
    };
    match &step.state.role {
        Role::Trial(votes) if agreed(votes) => stand(step),
        Role::Candidate(votes) if agreed(votes) => lead(step),
        _ => {}
    }
}

fn lead(step: &mut Step<'_>) {
    step.state.leader = step.state.hard.disk;
    step.state.role = Role::Leader(Box::default());
    replicate::match_members(step);
    let start = step.push(&Content::Nothing);
    let leading = Leading {
        start: start.index,
        beat: step.now,
        ..step.state.leading().cloned().unwrap_or_default()
    };
    step.state.role = Role::Leader(Box::new(leading));
    step.note(Note::Elected);
}
