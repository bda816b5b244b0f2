//! Processes received datagrams and produces the responses.

use {
    super::local,
    crate::{
        clock::Micros,
        membership::{
            merge,
            messages::{Datagram, DropReason, Dropped, Kind, Member, Outgoing},
            select,
            state::{RelayedPing, State},
        },
    },
    std::net::SocketAddr,
};

/// Maximum distance of sequence numbers by which a reordered datagram is still accepted.
const SEQUENCE_WINDOW: u64 = 256;
/// Maximum number of pings in flight on behalf of other members.
const MAX_RELAYED_PINGS: usize = 64;

/// Processes a datagram received from `address` and returns the datagrams to send.
///
/// # Errors
/// The datagram is dropped: the sender has the name of the local VM or an outdated incarnation, or
/// the sequence number is too far below the highest one received.
pub(in crate::membership) fn receive(
    state: &mut State,
    datagram: Datagram,
    address: SocketAddr,
    now: Micros,
) -> Result<Vec<Outgoing>, Dropped> {
    let Datagram {
        sequence,
        kind,
        from,
        members,
        zones,
    } = datagram;
    if from.name == state.local.name {
        return Err(Dropped::without_reply(DropReason::DuplicateName));
    }
    check_sender(state, &from, sequence, address)?;
    let (name, to) = (from.name.clone(), from.members);
    merge::apply_member(state, from, now);
    let is_latest = record_sequence(state, &name, sequence);
    if is_latest && matches!(kind, Kind::Ack(_)) {
        clear_probes(state, &name);
    }
    let is_page = matches!(kind, Kind::Listed(_));
    for member in members {
        let name = is_page.then(|| member.name.clone());
        let changed = merge::apply_member(state, member, now);
        // A page repeats what other members know already, so it needs no further dissemination.
        if let Some(name) = name.filter(|_| changed) {
            merge::suppress_dissemination(state, &name);
        }
    }
    for zone in zones {
        merge::apply_zone(state, zone);
    }
    Ok(respond(state, kind, sequence, to, now))
}

/// Rejects an earlier incarnation of the sender and outdated datagrams of the current one.
fn check_sender(
    state: &mut State,
    from: &Member,
    sequence: u64,
    address: SocketAddr,
) -> Result<(), Dropped> {
    let Some(row) = state.row(&from.name) else {
        return Ok(());
    };
    if from.incarnation < row.member.incarnation {
        let known = vec![row.member.clone()];
        let reply = select::bare_datagram(state, address, Kind::Outdated, known, Vec::new());
        return Err(Dropped {
            reason: DropReason::Outdated,
            reply: vec![reply],
        });
    }
    if from.incarnation == row.sequence_incarnation
        && sequence + SEQUENCE_WINDOW < row.last_sequence
    {
        return Err(Dropped::without_reply(DropReason::Replayed));
    }
    Ok(())
}

/// Records the sequence number. Returns whether it is the highest one of its sender.
fn record_sequence(state: &mut State, name: &str, sequence: u64) -> bool {
    let key = state.names.get(name).copied();
    let Some(row) = key.and_then(|key| state.rows.get_mut(key)) else {
        return false;
    };
    if row.sequence_incarnation != row.member.incarnation {
        row.sequence_incarnation = row.member.incarnation;
        row.last_sequence = 0;
    }
    let is_latest = sequence > row.last_sequence;
    row.last_sequence = row.last_sequence.max(sequence);
    is_latest
}

/// Removes the pending probes of a member that has responded to the local VM.
fn clear_probes(state: &mut State, name: &str) {
    let key = state.names.get(name).copied();
    state.probes.retain(|probe| Some(probe.target) != key);
}

fn respond(
    state: &mut State,
    kind: Kind,
    sequence: u64,
    to: SocketAddr,
    now: Micros,
) -> Vec<Outgoing> {
    match kind {
        Kind::Ping => vec![select::gossip_datagram(state, to, Kind::Ack(sequence), now)],
        Kind::Ack(probe) => handle_ack(state, probe, now),
        Kind::Relay { target, probe } => relay_ping(state, &target, probe, to, now),
        Kind::Page(after) => {
            let (members, next) = select::page(state, &after);
            vec![select::bare_datagram(
                state,
                to,
                Kind::Listed(next),
                members,
                Vec::new(),
            )]
        }
        Kind::Listed(next) => handle_page(state, next, to),
        Kind::Outdated => Vec::new(),
    }
}

fn handle_ack(state: &mut State, sequence: u64, now: Micros) -> Vec<Outgoing> {
    state.probes.retain(|probe| probe.sequence != sequence);
    // A response to a ping sent before a freeze does not prove that others consider the local VM
    // alive now.
    if !state.joined && sequence > state.join_fence {
        local::join(state);
    }
    let Some(at) = state
        .relayed_pings
        .iter()
        .position(|ping| ping.sequence == sequence)
    else {
        return Vec::new();
    };
    let ping = state.relayed_pings.swap_remove(at);
    let kind = Kind::Ack(ping.probe);
    vec![select::gossip_datagram(state, ping.requester, kind, now)]
}

fn relay_ping(
    state: &mut State,
    target: &str,
    probe: u64,
    requester: SocketAddr,
    now: Micros,
) -> Vec<Outgoing> {
    let Some(to) = state.row(target).map(|row| row.member.members) else {
        return Vec::new();
    };
    if state.relayed_pings.len() >= MAX_RELAYED_PINGS {
        return Vec::new();
    }
    let out = select::gossip_datagram(state, to, Kind::Ping, now);
    state.relayed_pings.push(RelayedPing {
        sequence: out.datagram.sequence,
        requester,
        probe,
        sent: now,
    });
    vec![out]
}

fn handle_page(state: &mut State, next: String, to: SocketAddr) -> Vec<Outgoing> {
    state.synced |= next.is_empty();
    state.page_cursor.clone_from(&next);
    if state.synced {
        return Vec::new();
    }
    let kind = Kind::Page(next);
    vec![select::bare_datagram(
        state,
        to,
        kind,
        Vec::new(),
        Vec::new(),
    )]
}
