//! Replication of the leader's log to the other members, commits, and reads.

use {
    super::{
        decide::{Effect, Note, Step},
        elect, install,
        state::{PendingRead, Progress, Role, State},
        wire::{Body, Envelope, Member},
    },
    crate::{
        clock::Micros,
        keys::{DiskId, OperatorCallKey},
        sorted::Sorted,
        storage::{Entry, Position},
    },
};

const MAX_APPEND_ENTRIES: usize = 256;
const MAX_APPEND_BYTES: usize = 64 << 10;
/// Heartbeat intervals without a reply after which entries are sent again.
const RESEND_HEARTBEATS: u64 = 2;

/// Highest value that a quorum of the voters reaches; `local` is this replica's value.
pub(super) fn quorum_value<T: Ord + Copy + Default>(
    state: &State,
    local: T,
    of: impl Fn(DiskId) -> T,
) -> T {
    let members = state.members();
    let value = |disk| {
        if disk == state.hard.disk {
            local
        } else {
            of(disk)
        }
    };
    let mut values: Vec<T> = members.voters().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    let at = members.quorum() - 1;
    values.get(at).copied().unwrap_or_default()
}

/// Adds progress for every other member with a disk, and removes that of former members.
pub(super) fn sync_progress(step: &mut Step<'_>) {
    let local_disk = step.state.hard.disk;
    let members = step.state.members().clone();
    let (now, next) = (step.now, step.state.log.last().index + 1);
    let Some(leader_state) = step.state.leader_state() else {
        return;
    };
    leader_state
        .progress
        .retain(|disk, _| members.with_disk(*disk).is_some());
    for row in members.rows {
        let is_other = row.disk != local_disk && row.disk != DiskId(0);
        if is_other && leader_state.progress.get(&row.disk).is_none() {
            leader_state
                .progress
                .insert(row.disk, new_progress(0, next, now));
        }
    }
}

fn new_progress(boot: u64, next: u64, last_contact: Micros) -> Progress {
    Progress {
        boot,
        next,
        matched: 0,
        in_flight: None,
        echoed: Micros(0),
        last_contact,
        silent_since: last_contact,
        install: (Position::default(), 0),
    }
}

/// Sends each member the entries that it lacks. With `heartbeat`, or when a heartbeat is due, a
/// member that needs no entries receives an empty append.
pub(super) fn send_all(step: &mut Step<'_>, heartbeat: bool) {
    let (now, commit) = (step.now, step.state.commit);
    let next = step.after(step.state.settings.heartbeat_ms);
    let Some(leader_state) = step.state.leader_state() else {
        return;
    };
    let heartbeat = heartbeat || now >= leader_state.next_heartbeat;
    if heartbeat {
        leader_state.next_heartbeat = next;
        leader_state.settled_commit = commit;
    }
    let local_disk = step.state.hard.disk;
    let rows = step.state.members().rows.clone();
    for row in rows.iter().filter(|row| row.disk != local_disk) {
        send(step, row, heartbeat);
    }
}

fn send(step: &mut Step<'_>, row: &Member, heartbeat: bool) {
    let resend = RESEND_HEARTBEATS * step.state.settings.heartbeat_ms;
    let (base, last) = (step.state.log.base().index, step.state.log.last().index);
    let now = step.now;
    let Some(progress) = step
        .state
        .leader_state()
        .and_then(|leader_state| leader_state.progress.get_mut(&row.disk))
    else {
        return;
    };
    let may_send = progress
        .in_flight
        .is_none_or(|sent| now >= sent.plus_millis(resend));
    let sends_entries = may_send && progress.next <= last;
    if !sends_entries && !heartbeat {
        return;
    }
    if sends_entries {
        progress.in_flight = Some(now);
    }
    let next = progress.next;
    if next <= base && (sends_entries || may_send) {
        install::send(step, row);
        return;
    }
    let prev = next.max(base + 1) - 1;
    let Some(term) = step.state.log.term_at(prev) else {
        return;
    };
    let entries = if sends_entries {
        step.state
            .log
            .slice(next, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
    } else {
        Vec::new()
    };
    let body = Body::Append {
        prev: Position { term, index: prev },
        entries,
        commit: step.state.commit,
        sent: now.0,
    };
    step.send_now(row.peers, row.disk, body);
}

/// Handles the leader's entries on a follower.
pub(super) fn handle_append(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Append {
        prev,
        ref entries,
        commit,
        sent,
    } = envelope.body
    else {
        return;
    };
    if envelope.term < step.state.hard.term {
        return acknowledge(step, envelope, false, 0, sent);
    }
    elect::accept_leader(step, envelope);
    if let Err(hint) = check_prev(step.state, prev) {
        return acknowledge(step, envelope, false, hint, sent);
    }
    if !append_new_entries(step, entries) {
        step.note(Note::Contradiction);
        return;
    }
    let matched = prev.index + entries.len() as u64;
    step.state.commit = step.state.commit.max(commit.min(matched));
    if step.state.commit >= commit {
        step.state.caught_up_at = step.now;
    }
    acknowledge(step, envelope, true, matched, sent);
}

/// Checks that the local log contains `prev`; the error is an index at which the logs may agree.
fn check_prev(state: &State, prev: Position) -> Result<(), u64> {
    let last = state.log.last().index;
    // A snapshot contains committed entries only, so it agrees with every leader's log.
    if prev.index <= state.log.base().index || state.log.term_at(prev.index) == Some(prev.term) {
        return Ok(());
    }
    if prev.index > last {
        return Err(last);
    }
    Err(state.log.first_of_term(prev.index).saturating_sub(1))
}

/// Appends the entries that are new; false if one contradicts a committed entry.
fn append_new_entries(step: &mut Step<'_>, entries: &[Entry]) -> bool {
    for entry in entries {
        let index = entry.at.index;
        if index <= step.state.log.base().index {
            continue;
        }
        match step.state.log.term_at(index) {
            Some(term) if term == entry.at.term => continue,
            Some(_) if index <= step.state.commit => return false,
            Some(_) => step.state.truncate_from(index),
            None => {}
        }
        step.state.push(entry.clone());
    }
    true
}

/// Reports to the leader up to which index the local log agrees with the leader's.
pub(super) fn acknowledge(
    step: &mut Step<'_>,
    envelope: &Envelope,
    agrees: bool,
    matched: u64,
    sent: u64,
) {
    let body = Body::Appended {
        agrees,
        matched,
        last: step.state.log.last(),
        sent,
    };
    step.reply(envelope, body);
}

/// Handles a follower's report of how far its log agrees with the leader's.
pub(super) fn handle_appended(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Appended {
        agrees,
        matched,
        sent,
        ..
    } = envelope.body
    else {
        return;
    };
    let Some(progress) = record_contact(step, envelope, sent) else {
        return;
    };
    if agrees {
        progress.matched = progress.matched.max(matched);
        progress.next = progress.next.max(progress.matched + 1);
    } else if progress.in_flight.is_none() {
        let back = progress.next.saturating_sub(1).max(1);
        progress.next = back.min(matched + 1).max(progress.matched + 1);
    }
}

/// Progress of a member that replied to this leader in this term, with the contact recorded.
pub(super) fn record_contact<'a>(
    step: &'a mut Step<'_>,
    envelope: &Envelope,
    sent: u64,
) -> Option<&'a mut Progress> {
    let (now, term) = (step.now, step.state.hard.term);
    let next = step.state.log.last().index + 1;
    let leader_state = step.state.leader_state()?;
    let progress = leader_state.progress.get_mut(&envelope.from)?;
    if envelope.term != term || envelope.boot < progress.boot {
        return None;
    }
    if envelope.boot > progress.boot {
        // The member restarted, so what it reported before may be lost.
        *progress = new_progress(envelope.boot, next.min(progress.next), now);
    }
    progress.last_contact = now;
    progress.silent_since = now;
    progress.echoed = progress.echoed.max(Micros(sent));
    if progress
        .in_flight
        .is_some_and(|in_flight| sent >= in_flight.0)
    {
        progress.in_flight = None;
    }
    Some(progress)
}

/// Commits the entries that a quorum has on disk, if the last of them is of the current term.
pub(super) fn advance_commit(step: &mut Step<'_>) {
    let Role::Leader(leader_state) = &step.state.role else {
        return;
    };
    let matched = |disk| {
        leader_state
            .progress
            .get(&disk)
            .map_or(0, |row| row.matched)
    };
    let index = quorum_value(step.state, step.state.durable_index, matched);
    let is_current_term = step.state.log.term_at(index) == Some(step.state.hard.term);
    if is_current_term && index > step.state.commit {
        step.state.commit = index;
        // Followers would receive the commit index with the next heartbeat; this sends it immediately.
        send_all(step, true);
    }
}

/// Registers a read, which is confirmed once a quorum has replied to a message sent after it.
pub(super) fn start_read(step: &mut Step<'_>, operator_call: OperatorCallKey) {
    if let Some(reason) = step.refusal() {
        let result = Err(reason);
        return step.effects.push(Effect::ReplyRead {
            operator_call,
            result,
        });
    }
    let (since, index) = (step.now, step.state.commit);
    if let Some(leader_state) = step.state.leader_state() {
        leader_state.reads.push(PendingRead {
            operator_call,
            since,
            index: index.max(leader_state.first_index),
        });
    }
    send_all(step, true);
}

/// Replies to the reads that a quorum has confirmed and whose entries are applied.
pub(super) fn confirm_reads(step: &mut Step<'_>) {
    let Role::Leader(leader_state) = &step.state.role else {
        return;
    };
    let echoed = |progress: &Sorted<DiskId, Progress>, disk| {
        progress.get(&disk).map_or(Micros(0), |row| row.echoed)
    };
    let confirmed = quorum_value(step.state, step.now, |disk| {
        echoed(&leader_state.progress, disk)
    });
    let applied = step.state.applied;
    let mut done = Vec::new();
    if let Some(leader_state) = step.state.leader_state() {
        leader_state.reads.retain(|read| {
            let ready = read.since <= confirmed && read.index <= applied;
            if ready {
                done.push(read.operator_call);
            }
            !ready
        });
    }
    for operator_call in done {
        let result = Ok(());
        step.effects.push(Effect::ReplyRead {
            operator_call,
            result,
        });
    }
}
