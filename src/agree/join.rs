//! Joining a cluster, bootstrapping one, and detecting a disk that lacks acknowledged state.

use {
    super::{
        decide::{self, Effect, Note, Step},
        messages::ControlVm,
        placement,
        state::{ReceivedHello, ReceivedWelcome, State},
        wire::{Body, Content, Envelope, Member, Members, Promise},
    },
    crate::{
        clock::Micros,
        keys::DiskId,
        storage::{Entry, Position},
    },
    std::net::SocketAddr,
};

/// Heartbeat intervals after a start within which a replica that belongs to a cluster is heard.
const FOUNDING_HEARTBEATS: u64 = 2;

/// Sends hellos to all other replicas until this one is an admitted voter with a leader, and
/// bootstraps the cluster if it may.
pub(super) fn tick(step: &mut Step<'_>) {
    if step.now < step.state.next_hello {
        return;
    }
    let heartbeat_ms = step.state.settings.heartbeat_ms;
    // A removed member may not have been notified of its removal, and receives nothing from a leader.
    let is_led = decide::is_current(step.state, step.now);
    let is_settled = step.state.admitted && step.state.is_voter() && is_led;
    // A replica that follows a member need not become one at once.
    let is_served = step.now < step.state.followed_until;
    step.state.next_hello = step.after(if is_settled || is_served {
        10 * heartbeat_ms
    } else {
        heartbeat_ms
    });
    if is_settled {
        let leader = step.state.leader_row().map(|row| row.peers);
        let leader = leader.filter(|address| *address != step.state.local.peers);
        placement::announce(step, leader.as_slice());
        return;
    }
    if may_bootstrap(step.state, step.now) {
        return bootstrap(step);
    }
    admit(step);
    let (name, operators) = (step.state.local.name.clone(), step.state.local.operators);
    let others = addresses(step.state);
    placement::announce(step, &others);
    for to in others {
        step.send(
            to,
            DiskId(0),
            Body::Hello {
                name: name.clone(),
                operators,
            },
        );
    }
}

/// Peer addresses of all other replicas that the settings, the log or the latest welcome names.
fn addresses(state: &State) -> Vec<SocketAddr> {
    let listed = state.settings.members.iter().map(|row| row.peers);
    let known = state.members().rows.iter().map(|row| row.peers);
    let reported_peers = state.reported_peers.iter().copied();
    let mut all: Vec<SocketAddr> = listed.chain(known).chain(reported_peers).collect();
    all.sort_unstable();
    all.dedup();
    all.retain(|address| *address != state.local.peers);
    all
}

/// Replies to a replica's hello.
pub(super) fn handle_hello(step: &mut Step<'_>, envelope: &Envelope, known: Promise) {
    let Body::Hello { name, operators } = &envelope.body else {
        return;
    };
    let hello = ReceivedHello {
        disk: envelope.from,
        at: step.now,
        peers: envelope.origin,
        operators: *operators,
    };
    step.state.hellos.insert(name.clone(), hello);
    let body = Body::Welcome {
        name: step.state.local.name.clone(),
        fresh: has_empty_log(step.state),
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

/// All control VMs that this replica knows: the members, and others whose hellos arrive. In ascending order
/// of address.
pub(super) fn control_vms(state: &State, now: Micros) -> Vec<ControlVm> {
    let zone = |name: &str| {
        let place = state.places.get(name);
        place.map_or_else(String::new, |place| place.zone.to_string())
    };
    let members = state.members();
    let rows = members.rows.iter().map(|row| ControlVm {
        peers: row.peers,
        zone: zone(&row.name),
        member: true,
    });
    let hellos = state.hellos.rows().iter();
    let others = hellos
        .filter(|(name, row)| {
            members.named(name).is_none() && placement::is_recent(state, row.at, now)
        })
        .map(|(name, row)| ControlVm {
            peers: row.peers,
            zone: zone(name),
            member: false,
        });
    let mut all: Vec<ControlVm> = rows.chain(others).collect();
    all.sort_by_key(|row| row.peers);
    all.dedup_by_key(|row| row.peers);
    all
}

/// Whether the local log is empty, as before a replica joins any cluster.
fn has_empty_log(state: &State) -> bool {
    state.log.last().index == 0
}

/// Handles the reply to a hello.
pub(super) fn handle_welcome(step: &mut Step<'_>, envelope: &Envelope) {
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
        step.state.reported_peers.clone_from(peers);
    }
    let hard = step.state.hard;
    let has_lost_state =
        known.boot > hard.boot || known.term > hard.term || known.last > step.state.log.last();
    if has_lost_state {
        step.note(Note::OldDisk);
        step.effects.push(Effect::Reinitialize);
        return;
    }
    if step.state.admitted && !has_empty_log(step.state) {
        return;
    }
    let row = ReceivedWelcome {
        disk: envelope.from,
        fresh: *fresh,
        term: envelope.term,
    };
    step.state.welcomes.insert(name.clone(), row);
    admit(step);
}

/// Admits this replica to elections once all other voters have confirmed that its disk has lost
/// no state, or after two election time-outs once a quorum, including itself, has. While the log names
/// no members, the listed ones count.
fn admit(step: &mut Step<'_>) {
    let has_waited = step.now
        >= step
            .state
            .started
            .plus_millis(2 * step.state.settings.election_ms);
    let state = &mut *step.state;
    let members = state.members();
    let welcomes = state.welcomes.rows().iter();
    let (confirmed, voters) = if members.rows.is_empty() {
        (welcomes.count(), state.settings.members.len())
    } else {
        let counted = welcomes.filter(|(_, row)| members.is_voter(row.disk));
        (counted.count(), members.voters().count())
    };
    let quorum = voters / 2 + 1;
    let lost = members.rows.iter().filter(|row| {
        let hello = state.hellos.get(row.name.as_str());
        let welcome = state.welcomes.get(row.name.as_str());
        let has_confirmed = welcome.is_some_and(|welcome| welcome.disk == row.disk);
        row.voter && !has_confirmed && hello.is_some_and(|hello| hello.disk != row.disk)
    });
    let lost = lost.count();
    let has_all = confirmed + 1 + lost >= voters;
    state.admitted |= (has_all || has_waited) && confirmed + 1 >= quorum;
}

/// Whether this replica bootstraps the cluster. Only the first listed member by name does, and only
/// after every other one has reported an empty log. With fewer reports, a cluster that lost some
/// disks could be bootstrapped a second time in parallel to its surviving members. These may not be listed, so
/// it waits until they have sent a hello.
fn may_bootstrap(state: &State, now: Micros) -> bool {
    let listed = &state.settings.members;
    let wait_ms = FOUNDING_HEARTBEATS * state.settings.heartbeat_ms;
    let is_early = listed.len() > 1 && now < state.started.plus_millis(wait_ms);
    if state.knows_cluster || is_early {
        return false;
    }
    let first = listed.iter().map(|row| &row.name).min();
    let local_name = &state.local.name;
    let others = || listed.iter().filter(|row| row.name != *local_name);
    let is_empty = |name: &String| {
        let row = state.welcomes.get(name.as_str());
        row.is_some_and(|row| row.fresh)
    };
    state.settings.may_bootstrap
        && has_empty_log(state)
        && first == Some(local_name)
        && others().all(|row| is_empty(&row.name))
}

fn bootstrap(step: &mut Step<'_>) {
    let state = &mut *step.state;
    let local = (state.local.name.clone(), state.hard.disk);
    let disk_of = |name: &str| {
        let row = state.welcomes.get(name).map(|row| row.disk);
        if name == local.0 {
            local.1
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
    let max_term = state.welcomes.rows().iter().map(|(_, row)| row.term).max();
    state.hard.term = state.hard.term.max(max_term.unwrap_or(0)) + 1;
    state.hard.vote = state.hard.disk;
    state.hard.cluster = step.random | 1;
    state.admitted = true;
    state.election_deadline = step.now;
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
