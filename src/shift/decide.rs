//! Selects the zone that serves a request. Without I/O or clock.

use {
    super::{
        limit::{FULL_LEVEL_PERMILLE, Limit},
        messages::Demand,
        settings::Settings,
        state::{CapRow, ReceivedGrant, Row, State, Wait},
    },
    crate::{
        call::Meta,
        clock::Micros,
        keys::{ServiceKey, ShiftKey, ZoneKey},
        policy::{Cap, Place, Policy, Shift},
        settings::topology::Topology,
    },
};

/// Minimum number of requests to ask headroom for, so that a shift can start.
const MIN_DEMAND: u32 = 2;

/// Target zone of a request, and the shift that moves it there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Move {
    /// Shift that moves the request.
    pub(super) shift: ShiftKey,
    /// Zone that is to serve the request.
    pub(super) zone: ZoneKey,
}

/// Applies the shifts and caps in force. Unchanged ones keep their counters.
pub(super) fn apply(
    state: &mut State,
    policy: &Policy,
    topology: &Topology,
    settings: Settings,
    now: Micros,
) {
    let mut old = std::mem::take(&mut state.names);
    for shift in &policy.shifts {
        let previous = old.remove(&shift.name);
        if let Some(key) = upsert(state, shift, previous, topology, settings, now) {
            state.names.insert(shift.name.clone(), key);
        }
    }
    for (_, key) in old.rows() {
        state.rows.remove(*key);
    }
    let mut caps = Vec::new();
    for cap in &policy.caps {
        let previous = state.caps.iter().find(|row| row.order == *cap).cloned();
        caps.extend(previous.or_else(|| new_cap(cap, topology, settings, now)));
    }
    state.caps = caps;
}

fn upsert(
    state: &mut State,
    shift: &Shift,
    previous: Option<ShiftKey>,
    topology: &Topology,
    settings: Settings,
    now: Micros,
) -> Option<ShiftKey> {
    let mut base = 0;
    if let Some(key) = previous {
        let row = &state.rows[key];
        if row.order == *shift {
            return Some(key);
        }
        let is_same_route = row.order.service == shift.service
            && row.order.from == shift.from
            && row.order.to == shift.to;
        if is_same_route {
            base = level(row, settings, now);
        }
        // Counters restart from zero, so that the cap applies to the old and to the new shift.
        state.rows.remove(key);
    }
    let row = Row {
        order: shift.clone(),
        service: topology.service(&shift.service)?,
        from: zones(topology, &shift.from),
        to: zones(topology, &shift.to),
        amount: Limit::new(shift.amount, settings.rate_vms, now),
        cap: Limit::new(shift.cap, settings.rate_vms, now),
        started: now,
        base,
        seen: 0,
        moved: 0,
        due: 0,
        wait: None,
    };
    Some(state.rows.insert(row))
}

fn new_cap(cap: &Cap, topology: &Topology, settings: Settings, now: Micros) -> Option<CapRow> {
    Some(CapRow {
        order: cap.clone(),
        service: topology.service(&cap.service)?,
        to: zones(topology, &cap.to),
        limit: Limit::new(cap.amount, settings.rate_vms, now),
    })
}

/// Zones of a place, sorted.
fn zones(topology: &Topology, place: &Place) -> Vec<ZoneKey> {
    match place {
        Place::AvailabilityZone(name) => topology.zone(name).into_iter().collect(),
        Place::Region(name) => {
            let region = topology.region(name);
            let all = (0..topology.zones.len()).filter_map(|at| u16::try_from(at).ok());
            all.map(ZoneKey)
                .filter(|zone| Some(topology.region_of(*zone)) == region)
                .collect()
        }
    }
}

/// Ramp level of the shift: permille of the amount that applies now.
fn level(row: &Row, settings: Settings, now: Micros) -> u64 {
    let elapsed = now.0.saturating_sub(row.started.0) / 1_000;
    let progress = (FULL_LEVEL_PERMILLE - row.base) * elapsed.min(settings.ramp_ms);
    let progress = progress.checked_div(settings.ramp_ms);
    row.base + progress.unwrap_or(FULL_LEVEL_PERMILLE - row.base)
}

/// Counts a request that entered the system at this VM and decides whether a shift moves it.
///
/// To be called once for each request: one that another zone returned is not counted again.
pub(super) fn route(
    state: &mut State,
    meta: &Meta,
    settings: Settings,
    now: Micros,
) -> Option<Move> {
    let matching = count_matching(state, meta, settings, now);
    for key in matching {
        let chosen = choose(state, &state.rows[key], settings, now);
        let row = &mut state.rows[key];
        row.due += u32::from(matches!(chosen, Ok(_) | Err(Some(Wait::NoHeadroom))));
        match chosen {
            Ok(zone) => {
                row.wait = None;
                row.moved += 1;
                row.amount.spend(now);
                row.cap.spend(now);
                spend(state, meta.service, zone, now);
                return Some(Move { shift: key, zone });
            }
            Err(wait) => row.wait = wait.or(row.wait),
        }
    }
    None
}

/// Counts the request at every shift and cap that applies to it. Returns the matching shifts, the
/// one with the largest backlog first.
fn count_matching(
    state: &mut State,
    meta: &Meta,
    settings: Settings,
    now: Micros,
) -> Vec<ShiftKey> {
    let mut matching = Vec::new();
    for (key, row) in &mut state.rows {
        if row.service != meta.service || row.from.binary_search(&meta.origin).is_err() {
            continue;
        }
        row.seen += 1;
        let level = level(row, settings, now);
        row.amount.count_request(level);
        row.cap.count_request(FULL_LEVEL_PERMILLE);
        matching.push((row.amount.backlog(now), key));
    }
    for cap in &mut state.caps {
        let is_affected = matching
            .iter()
            .any(|(_, key)| overlaps(&state.rows[*key].to, &cap.to));
        if cap.service == meta.service && is_affected {
            cap.limit.count_request(FULL_LEVEL_PERMILLE);
        }
    }
    matching.sort_by(|a, b| b.cmp(a));
    matching.into_iter().map(|(_, key)| key).collect()
}

fn overlaps(some: &[ZoneKey], others: &[ZoneKey]) -> bool {
    some.iter().any(|zone| others.binary_search(zone).is_ok())
}

/// Selects the zone with the most granted headroom.
///
/// # Errors
/// Why the shift waits; `None` if no request is due to move.
fn choose(
    state: &State,
    row: &Row,
    settings: Settings,
    now: Micros,
) -> Result<ZoneKey, Option<Wait>> {
    if row.amount.has_zero_rate() || row.cap.has_zero_rate() {
        return Err(Some(Wait::NoPart));
    }
    let level = level(row, settings, now);
    if !row.amount.has_room(level, now) {
        return Err((level < FULL_LEVEL_PERMILLE).then_some(Wait::Ramp));
    }
    if !row.cap.has_room(FULL_LEVEL_PERMILLE, now) {
        return Err(Some(Wait::Cap));
    }
    let mut wait = Wait::NoHeadroom;
    let mut best = None;
    for zone in &row.to {
        let headroom = headroom(state, row.service, *zone, now);
        if headroom == 0 {
            continue;
        }
        if !caps_have_room(state, row.service, *zone, now) {
            wait = Wait::Cap;
            continue;
        }
        best = best.max(Some((headroom, *zone)));
    }
    best.map(|(_, zone)| zone).ok_or(Some(wait))
}

fn caps_have_room(state: &State, service: ServiceKey, zone: ZoneKey, now: Micros) -> bool {
    state
        .caps
        .iter()
        .filter(|cap| protects(cap, service, zone))
        .all(|cap| cap.limit.has_room(FULL_LEVEL_PERMILLE, now))
}

fn protects(cap: &CapRow, service: ServiceKey, zone: ZoneKey) -> bool {
    cap.service == service && cap.to.binary_search(&zone).is_ok()
}

/// Number of requests of a service that may be moved to a zone now.
pub(super) fn headroom(state: &State, service: ServiceKey, zone: ZoneKey, now: Micros) -> u32 {
    let valid = state
        .received
        .iter()
        .filter(|grant| grant.service == service && grant.zone == zone && grant.until > now);
    valid.map(|grant| grant.count).sum()
}

fn spend(state: &mut State, service: ServiceKey, zone: ZoneKey, now: Micros) {
    for cap in &mut state.caps {
        if protects(cap, service, zone) {
            cap.limit.spend(now);
        }
    }
    let valid = |grant: &&mut ReceivedGrant| {
        grant.service == service && grant.zone == zone && grant.until > now && grant.count > 0
    };
    if let Some(grant) = state
        .received
        .iter_mut()
        .filter(valid)
        .min_by_key(|grant| grant.until)
    {
        grant.count -= 1;
    }
}

/// Headroom that this VM needs, by service and zone. Resets the counts of requests due to move.
pub(super) fn demand(state: &mut State, local: ZoneKey, now: Micros) -> Vec<Demand> {
    let mut demands = Vec::new();
    for row in state.rows.values_mut() {
        if row.from.binary_search(&local).is_err() {
            continue;
        }
        let due = std::mem::take(&mut row.due).saturating_mul(2);
        let zones = row
            .to
            .iter()
            .map(|zone| (row.service, *zone, due.max(MIN_DEMAND)));
        demands.extend(zones);
    }
    let unmet_demand = |(service, zone, due): (ServiceKey, ZoneKey, u32)| Demand {
        service,
        zone,
        count: due.saturating_sub(headroom(state, service, zone, now)),
    };
    demands
        .into_iter()
        .map(unmet_demand)
        .filter(|row| row.count > 0)
        .collect()
}

/// Services whose requests leave the zone `local` under at least one shift, sorted.
pub(super) fn shifted_services(state: &State, local: ZoneKey) -> Vec<ServiceKey> {
    let outbound = state
        .rows
        .values()
        .filter(|row| row.from.binary_search(&local).is_ok());
    let mut services: Vec<ServiceKey> = outbound.map(|row| row.service).collect();
    services.sort_unstable();
    services.dedup();
    services
}

/// Adds granted headroom and removes grants that have expired or are used up.
pub(super) fn add_grant(state: &mut State, grant: ReceivedGrant, now: Micros) {
    state
        .received
        .retain(|row| row.until > now && row.count > 0);
    if grant.count > 0 {
        state.received.push(grant);
    }
}
