//! The leader brings its log to the others, and counts what a quorum has.

use {
    super::{
        decide::{Effect, Note, Step},
        elect, install,
        state::{Progress, Reading, Role, State},
        wire::{Body, Envelope, Member},
    },
    crate::{
        clock::Micros,
        keys::{DiskKey, TicketKey},
        sorted::Sorted,
        storage::{Entry, Position},
    },
};

const APPEND_ENTRIES: usize = 256;
const APPEND_BYTES: usize = 64 << 10;
/// Heartbeats after which entries without an answer are sent again.
const RESEND_BEATS: u64 = 2;

/// The highest value that a quorum of the voters reaches; `own` is this replica's value.
pub(super) fn quorum_of<T: Ord + Copy + Default>(
    state: &State,
    own: T,
    of: impl Fn(DiskKey) -> T,
) -> T {
    let members = state.members();
    let value = |disk| {
        if disk == state.hard.disk {
            own
        } else {
            of(disk)
        }
    };
    let mut values: Vec<T> = members.voters().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    let at = members.quorum() - 1;
    values.get(at).copied().unwrap_or_default()
}

/// Gives every other member with a disk its progress, and forgets those who are gone.
pub(super) fn match_members(step: &mut Step<'_>) {
    let own = step.state.hard.disk;
    let members = step.state.members().clone();
    let (now, next) = (step.now, step.state.log.last().index + 1);
    let Some(leading) = step.state.leading() else {
        return;
    };
    leading
        .progress
        .retain(|disk, _| members.with_disk(*disk).is_some());
    for row in members.rows {
        let other = row.disk != own && row.disk != DiskKey(0);
        if other && leading.progress.get(&row.disk).is_none() {
            leading.progress.insert(row.disk, fresh(0, next, now));
        }
    }
}

fn fresh(boot: u64, next: u64, heard: Micros) -> Progress {
    Progress {
        boot,
        next,
        matched: 0,
        flight: None,
        echoed: Micros(0),
        heard,
        install: (Position::default(), 0),
    }
}

/// Sends what each member lacks; with `beat`, or when a heartbeat is due, at least a heartbeat.
pub(super) fn send_all(step: &mut Step<'_>, beat: bool) {
    let now = step.now;
    let next = step.after(step.state.settings.heartbeat_ms);
    let Some(leading) = step.state.leading() else {
        return;
    };
    let beat = beat || now >= leading.beat;
    if beat {
        leading.beat = next;
    }
    let own = step.state.hard.disk;
    let rows = step.state.members().rows.clone();
    for row in rows.iter().filter(|row| row.disk != own) {
        send(step, row, beat);
    }
}

fn send(step: &mut Step<'_>, row: &Member, beat: bool) {
    let resend = RESEND_BEATS * step.state.settings.heartbeat_ms;
    let (base, last) = (step.state.log.base().index, step.state.log.last().index);
    let now = step.now;
    let Some(progress) = step
        .state
        .leading()
        .and_then(|leading| leading.progress.get_mut(&row.disk))
    else {
        return;
    };
    let quiet = progress
        .flight
        .is_none_or(|sent| now >= sent.plus_millis(resend));
    let more = quiet && progress.next <= last;
    if !more && !beat {
        return;
    }
    if more {
        progress.flight = Some(now);
    }
    let next = progress.next;
    if next <= base && (more || quiet) {
        install::send(step, row);
        return;
    }
    let prev = next.max(base + 1) - 1;
    let Some(term) = step.state.log.term_at(prev) else {
        return;
    };
    let entries = if more {
        step.state.log.slice(next, APPEND_ENTRIES, APPEND_BYTES)
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

/// A follower takes in the leader's entries.
pub(super) fn append(step: &mut Step<'_>, envelope: &Envelope) {
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
        return answer(step, envelope, false, 0, sent);
    }
    elect::heard_leader(step, envelope);
    if let Err(hint) = agree(step.state, prev) {
        return answer(step, envelope, false, hint, sent);
    }
    if !take(step, entries) {
        step.note(Note::Contradiction);
        return;
    }
    let matched = prev.index + entries.len() as u64;
    step.state.commit = step.state.commit.max(commit.min(matched));
    if step.state.commit >= commit {
        step.state.caught_up = step.now;
    }
    answer(step, envelope, true, matched, sent);
}

/// Whether the log holds `prev`; if not, an index at which it may agree.
fn agree(state: &State, prev: Position) -> Result<(), u64> {
    let last = state.log.last().index;
    // What the snapshot holds is committed, so it agrees with every leader.
    if prev.index <= state.log.base().index || state.log.term_at(prev.index) == Some(prev.term) {
        return Ok(());
    }
    if prev.index > last {
        return Err(last);
    }
    Err(state.log.run_start(prev.index).saturating_sub(1))
}

/// Adds entries that are new; false if one contradicts what is committed.
fn take(step: &mut Step<'_>, entries: &[Entry]) -> bool {
    for entry in entries {
        let index = entry.at.index;
        if index <= step.state.log.base().index {
            continue;
        }
        match step.state.log.term_at(index) {
            Some(term) if term == entry.at.term => continue,
            Some(_) if index <= step.state.commit => return false,
            Some(_) => step.state.cut_from(index),
            None => {}
        }
        step.state.push(entry.clone());
    }
    true
}

/// Tells the leader how far the log agrees with its own.
pub(super) fn answer(
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

/// The leader learns how far a member's log agrees.
pub(super) fn appended(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Appended {
        agrees,
        matched,
        sent,
        ..
    } = envelope.body
    else {
        return;
    };
    let Some(progress) = hear(step, envelope, sent) else {
        return;
    };
    if agrees {
        progress.matched = progress.matched.max(matched);
        progress.next = progress.next.max(progress.matched + 1);
    } else if progress.flight.is_none() {
        let back = progress.next.saturating_sub(1).max(1);
        progress.next = back.min(matched + 1).max(progress.matched + 1);
    }
}

/// The progress of a member that answered this leader in this term.
pub(super) fn hear<'a>(
    step: &'a mut Step<'_>,
    envelope: &Envelope,
    sent: u64,
) -> Option<&'a mut Progress> {
    let (now, term) = (step.now, step.state.hard.term);
    let next = step.state.log.last().index + 1;
    let leading = step.state.leading()?;
    let progress = leading.progress.get_mut(&envelope.from)?;
    if envelope.term != term || envelope.boot < progress.boot {
        return None;
    }
    if envelope.boot > progress.boot {
        // Restarted: what it said before may be lost.
        *progress = fresh(envelope.boot, next.min(progress.next), now);
    }
    progress.heard = now;
    progress.echoed = progress.echoed.max(Micros(sent));
    if progress.flight.is_some_and(|flight| sent >= flight.0) {
        progress.flight = None;
    }
    Some(progress)
}

/// Commits what a quorum has, if an entry of this term is among it.
pub(super) fn advance(step: &mut Step<'_>) {
    let Role::Leader(leading) = &step.state.role else {
        return;
    };
    let matched = |disk| leading.progress.get(&disk).map_or(0, |row| row.matched);
    let index = quorum_of(step.state, step.state.durable, matched);
    let own_term = step.state.log.term_at(index) == Some(step.state.hard.term);
    if own_term && index > step.state.commit {
        step.state.commit = index;
        // Followers learn it with the next heartbeat at the latest.
        send_all(step, true);
    }
}

/// Notes a read; a quorum that answers a later message confirms it.
pub(super) fn read(step: &mut Step<'_>, ticket: TicketKey) {
    if let Some(reason) = step.refusal() {
        let answer = Err(reason);
        return step.out.push(Effect::Read { ticket, answer });
    }
    let (since, index) = (step.now, step.state.commit);
    if let Some(leading) = step.state.leading() {
        leading.reads.push(Reading {
            ticket,
            since,
            index: index.max(leading.start),
        });
    }
    send_all(step, true);
}

/// Answers the reads that a quorum has confirmed.
pub(super) fn confirm_reads(step: &mut Step<'_>) {
    let Role::Leader(leading) = &step.state.role else {
        return;
    };
    let echoed = |progress: &Sorted<DiskKey, Progress>, disk| {
        progress.get(&disk).map_or(Micros(0), |row| row.echoed)
    };
    let confirmed = quorum_of(step.state, step.now, |disk| echoed(&leading.progress, disk));
    let applied = step.state.applied;
    let mut done = Vec::new();
    if let Some(leading) = step.state.leading() {
        leading.reads.retain(|read| {
            let ready = read.since <= confirmed && read.index <= applied;
            if ready {
                done.push(read.ticket);
            }
            !ready
        });
    }
    for ticket in done {
        let answer = Ok(());
        step.out.push(Effect::Read { ticket, answer });
    }
}
