//! Takes in datagrams and answers them.

use {
    super::own,
    crate::{
        clock::Micros,
        membership::{
            merge,
            messages::{Datagram, Dropped, Fault, Kind, Member, Outgoing},
            select,
            state::{Errand, State},
        },
    },
    std::net::SocketAddr,
};

/// Sequence numbers by which a datagram may be overtaken.
const WINDOW: u64 = 256;
/// Errands kept at most.
const MOST_ERRANDS: usize = 64;

/// Takes in a datagram that came from `address`, and answers it.
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
    if from.name == state.own.name {
        return Err(Dropped::plain(Fault::OwnName));
    }
    check_sender(state, &from, sequence, address)?;
    let (name, to) = (from.name.clone(), from.members);
    merge::absorb(state, from, now);
    let fresh = mark_sequence(state, &name, sequence);
    if fresh && matches!(kind, Kind::Ack(_)) {
        clear_probes(state, &name);
    }
    let listed = matches!(kind, Kind::Listed(_));
    for member in members {
        let name = listed.then(|| member.name.clone());
        let changed = merge::absorb(state, member, now);
        // What stands in a page is no news to others.
        if let Some(name) = name.filter(|_| changed) {
            merge::hush(state, &name);
        }
    }
    for zone in zones {
        merge::absorb_zone(state, zone);
    }
    Ok(answer(state, kind, sequence, to, now))
}

/// Refuses an earlier incarnation and old datagrams of the present one.
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
        let reply = select::plain(state, address, Kind::Outdated, known, Vec::new());
        return Err(Dropped {
            fault: Fault::Outdated,
            reply: vec![reply],
        });
    }
    if from.incarnation == row.epoch && sequence + WINDOW < row.sequence {
        return Err(Dropped::plain(Fault::Replayed));
    }
    Ok(())
}

/// Whether the datagram is the latest of its sender.
fn mark_sequence(state: &mut State, name: &str, sequence: u64) -> bool {
    let key = state.names.get(name).copied();
    let Some(row) = key.and_then(|key| state.rows.get_mut(key)) else {
        return false;
    };
    if row.epoch != row.member.incarnation {
        row.epoch = row.member.incarnation;
        row.sequence = 0;
    }
    let fresh = sequence > row.sequence;
    row.sequence = row.sequence.max(sequence);
    fresh
}

/// The member answered this VM: no ping of it is open any more.
fn clear_probes(state: &mut State, name: &str) {
    let key = state.names.get(name).copied();
    state.probes.retain(|probe| Some(probe.target) != key);
}

fn answer(
    state: &mut State,
    kind: Kind,
    sequence: u64,
    to: SocketAddr,
    now: Micros,
) -> Vec<Outgoing> {
    match kind {
        Kind::Ping => vec![select::datagram(state, to, Kind::Ack(sequence), now)],
        Kind::Ack(probe) => acknowledged(state, probe, now),
        Kind::Relay { target, probe } => errand(state, &target, probe, to, now),
        Kind::Page(after) => {
            let (members, next) = select::page(state, &after);
            vec![select::plain(
                state,
                to,
                Kind::Listed(next),
                members,
                Vec::new(),
            )]
        }
        Kind::Listed(next) => listed(state, next, to),
        Kind::Outdated => Vec::new(),
    }
}

fn acknowledged(state: &mut State, sequence: u64, now: Micros) -> Vec<Outgoing> {
    state.probes.retain(|probe| probe.sequence != sequence);
    // An answer to a ping from before a freeze proves nothing.
    if !state.joined && sequence > state.fence {
        own::join(state);
    }
    let Some(at) = state
        .errands
        .iter()
        .position(|errand| errand.sequence == sequence)
    else {
        return Vec::new();
    };
    let errand = state.errands.swap_remove(at);
    let kind = Kind::Ack(errand.probe);
    vec![select::datagram(state, errand.asker, kind, now)]
}

fn errand(
    state: &mut State,
    target: &str,
    probe: u64,
    asker: SocketAddr,
    now: Micros,
) -> Vec<Outgoing> {
    let Some(to) = state.row(target).map(|row| row.member.members) else {
        return Vec::new();
    };
    if state.errands.len() >= MOST_ERRANDS {
        return Vec::new();
    }
    let out = select::datagram(state, to, Kind::Ping, now);
    state.errands.push(Errand {
        sequence: out.datagram.sequence,
        asker,
        probe,
        sent: now,
    });
    vec![out]
}

fn listed(state: &mut State, next: String, to: SocketAddr) -> Vec<Outgoing> {
    state.synced |= next.is_empty();
    state.page.clone_from(&next);
    if state.synced {
        return Vec::new();
    }
    let kind = Kind::Page(next);
    vec![select::plain(state, to, kind, Vec::new(), Vec::new())]
}
