//! Takes in news of upstreams and of the configuration. Without I/O or clock.

use {
    super::{
        budget::Budget,
        decide::sweep,
        settings::Settings,
        state::{Row, State},
    },
    crate::{
        announce::{Absence, Announcement, Notice},
        clock::Micros,
        drain::{Cause, Closing},
        keys::{ServiceKey, UpstreamKey},
        policy::{Drain, Policy},
    },
    std::sync::Arc,
};

/// Takes in news of an upstream; returns its service.
pub(super) fn notice(
    state: &mut State,
    settings: Settings,
    policy: &Policy,
    notice: Notice,
    now: Micros,
) -> Option<ServiceKey> {
    match notice {
        Notice::Present {
            key,
            announcement,
            holder,
            lapses,
        } => {
            let service = announcement.service;
            if !state.rows.contains_key(key) {
                join(state, settings, policy, key, &announcement, now);
            }
            update(state, key, announcement, holder, lapses);
            Some(service)
        }
        Notice::Absent { key, why } => {
            let row = state.rows.get_mut(key)?;
            row.absence = Some(why);
            let service = row.said.service;
            sweep(state, key);
            Some(service)
        }
    }
}

/// The drain of an upstream that goes with nothing in flight: it is over as it begins.
pub(super) fn leaves_idle(state: &State, notice: &Notice) -> Option<Closing> {
    let Notice::Absent { key, why } = notice else {
        return None;
    };
    let row = state.rows.get(*key).filter(|row| row.taken == 0)?;
    Some(Closing {
        name: row.said.name.clone(),
        cause: cause(*why),
        left: 0,
    })
}

/// The drain of an upstream that gets no new work.
pub(super) fn closing(row: &Row) -> Option<Closing> {
    let ordered = row.drained.then_some(Cause::Operator);
    Some(Closing {
        name: row.said.name.clone(),
        cause: row.absence.map(cause).or(ordered)?,
        left: row.taken,
    })
}

fn cause(why: Absence) -> Cause {
    match why {
        Absence::Leaving => Cause::Leaving,
        Absence::Lapsed => Cause::Lapsed,
        Absence::Moved | Absence::Replaced => Cause::Moved,
        Absence::Released => Cause::Operator,
    }
}

fn join(
    state: &mut State,
    settings: Settings,
    policy: &Policy,
    key: UpstreamKey,
    said: &Announcement,
    now: Micros,
) {
    let slots = u32::from(said.slots);
    let row = Row {
        said: said.clone(),
        holder: Arc::default(),
        lapses: now,
        taken: 0,
        inherited: slots,
        settles: Some(now.plus_millis(settings.settle_ms)),
        absence: None,
        drained: is_drained(policy, said) || state.drained,
        joined: now,
        latency: 0,
        failures: 0,
        backoff: Micros::default(),
        peak: 0,
        reported: 0,
        budget: Budget::full(settings),
    };
    state.rows.insert(key, row);
    rejoin(state, key);
}

/// An upstream that comes back in the same life still runs what was sent under its last key.
fn rejoin(state: &mut State, key: UpstreamKey) {
    let said = &state.rows[key].said;
    let (name, incarnation) = (said.name.clone(), said.incarnation);
    let is_last = |row: &Row| row.said.name == name && row.said.incarnation == incarnation;
    let last = state.rows.iter().filter(|(_, row)| is_last(row));
    let last: Vec<UpstreamKey> = last
        .map(|(other, _)| other)
        .filter(|other| *other != key)
        .collect();
    for other in last {
        let Some(old) = state.rows.remove(other) else {
            continue;
        };
        for flight in state.flights.values_mut() {
            if flight.upstream == other {
                flight.upstream = key;
            }
        }
        let row = &mut state.rows[key];
        row.taken += old.taken;
        row.latency = old.latency;
        row.joined = old.joined;
    }
}

fn update(
    state: &mut State,
    key: UpstreamKey,
    said: Announcement,
    holder: Arc<str>,
    lapses: Micros,
) {
    let row = &mut state.rows[key];
    if let Some(inherited) = said.inherited {
        // Under one holder it only falls: a late word of more is out of date.
        row.inherited = row.inherited.min(u32::from(inherited));
        row.settles = None;
    }
    if let Some(load) = said.load {
        // What runs beyond our own count, now or since the last report, is others' work. A load
        // beyond every slot cannot be true and is ignored.
        let known = row.peak + row.inherited;
        let sane = load <= u32::from(said.slots);
        row.reported = if sane { load.saturating_sub(known) } else { 0 };
        row.peak = row.taken;
    }
    row.said = said;
    row.holder = holder;
    row.lapses = lapses;
    row.absence = None;
}

/// Takes in the drains in force; `drained` is whether this VM or its zone is drained.
pub(super) fn apply_policy(state: &mut State, policy: &Policy, drained: bool) {
    state.drained = drained;
    for row in state.rows.values_mut() {
        row.drained = drained || is_drained(policy, &row.said);
    }
}

fn is_drained(policy: &Policy, said: &Announcement) -> bool {
    policy.has_drain(&Drain::Upstream(said.name.clone()))
}
