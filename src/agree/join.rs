//! How a replica becomes part of a cluster, or finds that its disk has lost what it promised.

use {
    super::{
        decide::{self, Effect, Note, Step},
        state::{Shown, State, Welcomed},
        wire::{Body, Content, Envelope, Member, Members, Promise},
    },
    crate::{
        keys::DiskKey,
        storage::{Entry, Position},
    },
    std::net::SocketAddr,
};

/// Shows this replica to all others until it counts, and founds the cluster if it may.
pub(super) fn tick(step: &mut Step<'_>) {
    if step.now < step.state.hello {
        return;
    }
    let beat = step.state.settings.heartbeat_ms;
    // A member that was removed may not know it, and hears no leader.
    let led = decide::is_current(step.state, step.now);
    let settled = step.state.admitted && step.state.votes() && led;
    step.state.hello = step.after(if settled { 10 * beat } else { beat });
    if settled {
        return;
    }
    if may_found(step.state) {
        return found(step);
    }
    admit(step);
    let (name, operators) = (step.state.me.name.clone(), step.state.me.operators);
    for to in addresses(step.state) {
        step.send(
            to,
            DiskKey(0),
            Body::Hello {
                name: name.clone(),
                operators,
            },
        );
    }
}

/// Peer addresses of everyone else that the settings, the log or a peer names.
fn addresses(state: &State) -> Vec<SocketAddr> {
    let listed = state.settings.members.iter().map(|row| row.peers);
    let known = state.members().rows.iter().map(|row| row.peers);
    let told = state.told.iter().copied();
    let mut all: Vec<SocketAddr> = listed.chain(known).chain(told).collect();
    all.sort_unstable();
    all.dedup();
    all.retain(|address| *address != state.me.peers);
    all
}

/// Answers a replica that shows itself.
pub(super) fn hello(step: &mut Step<'_>, envelope: &Envelope, known: Promise) {
    let Body::Hello { name, operators } = &envelope.body else {
        return;
    };
    let shown = Shown {
        disk: envelope.from,
        at: step.now,
        peers: envelope.origin,
        operators: *operators,
    };
    step.state.shown.insert(name.clone(), shown);
    let body = Body::Welcome {
        name: step.state.me.name.clone(),
        fresh: is_fresh(step.state),
        known,
        peers: step
            .state
            .members()
            .rows
            .iter()
            .map(|row| row.peers)
            .collect(),
    };
    step.reply(envelope, body);
}

/// Whether this replica holds nothing of any cluster.
fn is_fresh(state: &State) -> bool {
    state.log.last().index == 0
}

/// Takes in an answer to a hello.
pub(super) fn welcome(step: &mut Step<'_>, envelope: &Envelope) {
    let Body::Welcome {
        name,
        fresh,
        known,
        peers,
    } = &envelope.body
    else {
        return;
    };
    if !peers.is_empty() {
        step.state.told.clone_from(peers);
    }
    let hard = step.state.hard;
    let lost =
        known.boot > hard.boot || known.term > hard.term || known.last > step.state.log.last();
    if lost {
        step.note(Note::OldDisk);
        step.out.push(Effect::Renew);
        return;
    }
    if step.state.admitted && !is_fresh(step.state) {
        return;
    }
    let row = Welcomed {
        disk: envelope.from,
        fresh: *fresh,
        term: envelope.term,
    };
    step.state.welcomes.insert(name.clone(), row);
    admit(step);
}

/// Lets this replica vote again once all others, or after a while a quorum with itself, know of
/// nothing that it lost.
fn admit(step: &mut Step<'_>) {
    let waited = step.now
        >= step
            .state
            .started
            .plus_millis(2 * step.state.settings.election_ms);
    let state = &mut *step.state;
    let members = state.members();
    let welcomes = state.welcomes.rows().iter();
    let (agreed, voters) = if members.rows.is_empty() {
        (welcomes.count(), state.settings.members.len())
    } else {
        let counted = welcomes.filter(|(_, row)| members.votes(row.disk));
        (counted.count(), members.voters().count())
    };
    let quorum = voters / 2 + 1;
    state.admitted |= agreed + 1 >= voters || (waited && agreed + 1 >= quorum);
}

/// Only the first of the listed members founds, and only if every other one holds nothing too.
/// With fewer, a cluster that lost some disks could be founded anew beside what is left of it.
fn may_found(state: &State) -> bool {
    let listed = &state.settings.members;
    let first = listed.iter().map(|row| &row.name).min();
    let own = &state.me.name;
    let others = || listed.iter().filter(|row| row.name != *own);
    let is_empty = |name: &String| {
        let row = state.welcomes.get(name.as_str());
        row.is_some_and(|row| row.fresh)
    };
    state.settings.may_bootstrap
        && is_fresh(state)
        && first == Some(own)
        && others().all(|row| is_empty(&row.name))
}

fn found(step: &mut Step<'_>) {
    let state = &mut *step.state;
    let own = (state.me.name.clone(), state.hard.disk);
    let disk_of = |name: &str| {
        let row = state.welcomes.get(name).map(|row| row.disk);
        if name == own.0 {
            own.1
        } else {
            row.unwrap_or_default()
        }
    };
    let mut rows: Vec<Member> = Vec::new();
    for row in &state.settings.members {
        rows.push(Member {
            name: row.name.clone(),
            peers: row.peers,
            operators: row.operators,
            disk: disk_of(&row.name),
            voter: true,
        });
    }
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    let seen = state.welcomes.rows().iter().map(|(_, row)| row.term).max();
    state.hard.term = state.hard.term.max(seen.unwrap_or(0)) + 1;
    state.hard.vote = state.hard.disk;
    state.hard.cluster = step.random | 1;
    state.admitted = true;
    state.deadline = step.now;
    let at = Position {
        term: state.hard.term,
        index: 1,
    };
    let content = postcard::to_stdvec(&Content::Members(Members { rows }));
    let content = content.unwrap_or_default().into();
    state.push(Entry { at, content });
    step.save();
    step.note(Note::Founded);
}
