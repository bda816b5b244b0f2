//! Takes and frees slots. Without I/O or clock.

use {
    super::{
        settings::Settings,
        state::{Flight, Row, State},
    },
    crate::{
        announce::{Announcement, Notice},
        call::{Meta, Ran, Reason, Refusal},
        clock::Micros,
        keys::{FlightKey, UpstreamKey},
        policy::{Drain, Policy},
        relay::Failure,
    },
    std::net::SocketAddr,
};

/// Takes a slot for a request, or says why there is none.
pub(super) fn take(
    state: &mut State,
    meta: &Meta,
    attempt: u64,
    now: Micros,
) -> Result<(FlightKey, SocketAddr), Refusal> {
    if meta.deadline <= now {
        return Err(Refusal::not_run(Reason::DeadlineExceeded));
    }
    let upstream = choose(state, meta)?;
    let row = &mut state.rows[upstream];
    row.taken += 1;
    let address = row.said.address;
    let flight = state.flights.insert(Flight { upstream, attempt });
    Ok((flight, address))
}

/// The open upstream of the service with the largest share of its slots free.
fn choose(state: &State, meta: &Meta) -> Result<UpstreamKey, Refusal> {
    let open = state
        .rows
        .iter()
        .filter(|(_, row)| row.said.service == meta.service && row.is_open());
    let mut known = false;
    let mut best: Option<(u64, UpstreamKey)> = None;
    for (key, row) in open {
        known = true;
        let rank = u64::from(row.free()) * 1_000 / u64::from(row.said.slots.max(1));
        if row.free() > 0 && best.is_none_or(|(most, _)| rank > most) {
            best = Some((rank, key));
        }
    }
    let reason = if known {
        Reason::NoSlot
    } else {
        Reason::NoUpstream
    };
    best.map(|(_, key)| key).ok_or(Refusal::not_run(reason))
}

/// Frees the slot of an attempt that ended.
pub(super) fn free(state: &mut State, flight: FlightKey) -> Option<Flight> {
    let ended = state.flights.remove(flight)?;
    if let Some(row) = state.rows.get_mut(ended.upstream) {
        row.taken -= 1;
        if row.taken == 0 && !row.present {
            state.rows.remove(ended.upstream);
        }
    }
    Some(ended)
}

/// Whether a failed attempt may be followed by another.
pub(super) fn may_retry(settings: Settings, failure: Failure, attempt: u64) -> bool {
    failure.ran == Ran::No && attempt < settings.attempts
}

/// Takes in news of an upstream.
pub(super) fn notice(state: &mut State, policy: &Policy, notice: Notice) {
    match notice {
        Notice::Present { key, announcement } => present(state, policy, key, announcement),
        Notice::Absent { key } => {
            let Some(row) = state.rows.get_mut(key) else {
                return;
            };
            row.present = false;
            if row.taken == 0 {
                state.rows.remove(key);
            }
        }
    }
}

fn present(state: &mut State, policy: &Policy, key: UpstreamKey, said: Announcement) {
    if let Some(row) = state.rows.get_mut(key) {
        row.said = said;
        row.present = true;
        return;
    }
    let drained = is_drained(policy, &said);
    state.rows.insert(
        key,
        Row {
            said,
            taken: 0,
            present: true,
            drained,
        },
    );
}

/// Takes in the drains in force.
pub(super) fn apply_policy(state: &mut State, policy: &Policy) {
    for row in state.rows.values_mut() {
        row.drained = is_drained(policy, &row.said);
    }
}

fn is_drained(policy: &Policy, said: &Announcement) -> bool {
    policy.drains(&Drain::Upstream(said.name.clone()))
}
