//! Applies updates of upstreams and of the configuration. Performs no I/O and reads no clock.

use {
    super::{
        budget::Budget,
        decide::remove_if_unused,
        settings::Settings,
        state::{Row, State},
    },
    crate::{
        announce::{Absence, Announcement, Notice},
        clock::Micros,
        drain::{Cause, DrainingUpstream},
        keys::{ServiceKey, UpstreamKey},
        policy::{Drain, Policy},
    },
    std::sync::Arc,
};

/// Applies a notice of the announce duty; returns the service of the upstream.
pub(super) fn apply_notice(
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
            expires,
        } => {
            let service = announcement.service;
            if !state.rows.contains_key(key) {
                join(state, settings, policy, key, &announcement, now);
            }
            update(state, key, announcement, holder, expires);
            Some(service)
        }
        Notice::Absent { key, why } => {
            let row = state.rows.get_mut(key)?;
            row.absence = Some(why);
            let service = row.announcement.service;
            remove_if_unused(state, key);
            Some(service)
        }
    }
}

/// The drain of an upstream that leaves with no attempt in flight: it completes immediately, and its
/// row is removed before the drain duty is notified.
pub(super) fn idle_drain(state: &State, notice: &Notice) -> Option<DrainingUpstream> {
    let Notice::Absent { key, why } = notice else {
        return None;
    };
    let row = state.rows.get(*key).filter(|row| row.taken == 0)?;
    Some(DrainingUpstream {
        name: row.announcement.name.clone(),
        cause: cause(*why),
        left: 0,
    })
}

/// The drain of an upstream that is absent or drained; `None` for any other.
pub(super) fn draining_upstream(row: &Row) -> Option<DrainingUpstream> {
    let ordered = row.drained.then_some(Cause::Operator);
    Some(DrainingUpstream {
        name: row.announcement.name.clone(),
        cause: row.absence.map(cause).or(ordered)?,
        left: row.taken,
    })
}

/// Drain cause to report for an absence.
fn cause(why: Absence) -> Cause {
    match why {
        Absence::Leaving => Cause::Leaving,
        Absence::Expired => Cause::Expired,
        Absence::Moved | Absence::Replaced => Cause::Moved,
        Absence::Released => Cause::Operator,
    }
}

/// Inserts a row for a new upstream, with every slot counted as inherited until it reports
/// otherwise.
fn join(
    state: &mut State,
    settings: Settings,
    policy: &Policy,
    key: UpstreamKey,
    announcement: &Announcement,
    now: Micros,
) {
    let slots = u32::from(announcement.slots);
    let row = Row {
        announcement: announcement.clone(),
        holder: Arc::default(),
        expires: now,
        taken: 0,
        inherited: slots,
        inherited_until: Some(now.plus_millis(settings.settle_ms)),
        absence: None,
        drained: is_drained(policy, announcement) || state.drained,
        joined: now,
        latency: 0,
        failures: 0,
        backoff: Micros::default(),
        peak: 0,
        external_load: 0,
        budget: Budget::full(settings),
    };
    state.rows.insert(key, row);
    rejoin(state, key);
}

/// Moves the attempts and slot counts of an upstream that rejoins in the same incarnation to its
/// new key: it still runs the requests sent under the previous one.
fn rejoin(state: &mut State, key: UpstreamKey) {
    let announcement = &state.rows[key].announcement;
    let (name, incarnation) = (announcement.name.clone(), announcement.incarnation);
    let is_previous =
        |row: &Row| row.announcement.name == name && row.announcement.incarnation == incarnation;
    let previous = state.rows.iter().filter(|(_, row)| is_previous(row));
    let previous: Vec<UpstreamKey> = previous
        .map(|(other, _)| other)
        .filter(|other| *other != key)
        .collect();
    for other in previous {
        let Some(old) = state.rows.remove(other) else {
            continue;
        };
        for in_flight in state.in_flight.values_mut() {
            if in_flight.upstream == other {
                in_flight.upstream = key;
            }
        }
        let row = &mut state.rows[key];
        row.taken += old.taken;
        row.latency = old.latency;
        row.joined = old.joined;
    }
}

/// Applies an announcement to an existing row.
fn update(
    state: &mut State,
    key: UpstreamKey,
    announcement: Announcement,
    holder: Arc<str>,
    expires: Micros,
) {
    let row = &mut state.rows[key];
    if let Some(inherited) = announcement.inherited {
        // Under one holder the count only falls, so a higher one is from a delayed announcement.
        row.inherited = row.inherited.min(u32::from(inherited));
        row.inherited_until = None;
    }
    if let Some(load) = announcement.load {
        // Load above the local peak since the last report comes from other senders. A load above
        // the number of slots is invalid and ignored.
        let local_load = row.peak + row.inherited;
        let is_valid = load <= u32::from(announcement.slots);
        row.external_load = if is_valid {
            load.saturating_sub(local_load)
        } else {
            0
        };
        row.peak = row.taken;
    }
    row.announcement = announcement;
    row.holder = holder;
    row.expires = expires;
    row.absence = None;
}

/// Applies the drains in force; `drained` is whether this VM or its availability zone is drained.
pub(super) fn apply_policy(state: &mut State, policy: &Policy, drained: bool) {
    state.drained = drained;
    for row in state.rows.values_mut() {
        row.drained = drained || is_drained(policy, &row.announcement);
    }
}

fn is_drained(policy: &Policy, announcement: &Announcement) -> bool {
    policy.has_drain(&Drain::Upstream(announcement.name.clone()))
}
