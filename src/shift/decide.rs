//! Decides which zone serves a request. Without I/O or clock.

use {
    super::{
        limit::{Limit, WHOLE_LEVEL},
        messages::Wanted,
        settings::Settings,
        state::{CapRow, Held, Row, State, Wait},
    },
    crate::{
        call::Meta,
        clock::Micros,
        keys::{ServiceKey, ShiftKey, ZoneKey},
        policy::{Cap, Place, Policy, Shift},
        settings::topology::Topology,
    },
};

/// Requests that headroom is asked for at least, so that a shift can begin.
const LEAST_WANTED: u32 = 2;

/// Where a request goes and under which shift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Move {
    /// Shift that moves it.
    pub(super) shift: ShiftKey,
    /// Zone that is to serve it.
    pub(super) zone: ZoneKey,
}

/// Takes in the shifts and caps in force. An unchanged one keeps its counts.
pub(super) fn apply(
    state: &mut State,
    policy: &Policy,
    topology: &Topology,
    settings: Settings,
    now: Micros,
) {
    let mut old = std::mem::take(&mut state.names);
    for shift in &policy.shifts {
        let last = old.remove(&shift.name);
        if let Some(key) = put(state, shift, last, topology, settings, now) {
            state.names.insert(shift.name.clone(), key);
        }
    }
    for (_, key) in old.rows() {
        state.rows.remove(*key);
    }
    let mut caps = Vec::new();
    for cap in &policy.caps {
        let last = state.caps.iter().find(|row| row.said == *cap).cloned();
        caps.extend(last.or_else(|| cap_row(cap, topology, settings, now)));
    }
    state.caps = caps;
}

fn put(
    state: &mut State,
    shift: &Shift,
    last: Option<ShiftKey>,
    topology: &Topology,
    settings: Settings,
    now: Micros,
) -> Option<ShiftKey> {
    let mut base = 0;
    if let Some(key) = last {
        let row = &state.rows[key];
        if row.said == *shift {
            return Some(key);
        }
        let same_way = row.said.service == shift.service
            && row.said.from == shift.from
            && row.said.to == shift.to;
        if same_way {
            base = level(row, settings, now);
        }
        // New counts from zero: the cap then holds for the old and the new shift alike.
        state.rows.remove(key);
    }
    let row = Row {
        said: shift.clone(),
        service: topology.service(&shift.service)?,
        from: zones(topology, &shift.from),
        to: zones(topology, &shift.to),
        amount: Limit::new(shift.amount, settings.rate_vms, now),
        cap: Limit::new(shift.cap, settings.rate_vms, now),
        began: now,
        base,
        seen: 0,
        moved: 0,
        due: 0,
        wait: None,
    };
    Some(state.rows.insert(row))
}

fn cap_row(cap: &Cap, topology: &Topology, settings: Settings, now: Micros) -> Option<CapRow> {
    Some(CapRow {
        said: cap.clone(),
        service: topology.service(&cap.service)?,
        to: zones(topology, &cap.to),
        limit: Limit::new(cap.amount, settings.rate_vms, now),
    })
}

/// The zones of a place, sorted.
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

/// Thousandths of the amount that the ramp has reached.
fn level(row: &Row, settings: Settings, now: Micros) -> u64 {
    let elapsed = now.0.saturating_sub(row.began.0) / 1_000;
    let risen = (WHOLE_LEVEL - row.base) * elapsed.min(settings.ramp_ms);
    let risen = risen.checked_div(settings.ramp_ms);
    row.base + risen.unwrap_or(WHOLE_LEVEL - row.base)
}

/// Counts a request that entered here and decides whether a shift moves it.
///
/// Call it once for each request; one that comes back is not counted again.
pub(super) fn route(
    state: &mut State,
    meta: &Meta,
    settings: Settings,
    now: Micros,
) -> Option<Move> {
    let matching = see(state, meta, settings, now);
    for key in matching {
        let chosen = choose(state, &state.rows[key], settings, now);
        let row = &mut state.rows[key];
        row.due += u32::from(matches!(chosen, Ok(_) | Err(Some(Wait::NoHeadroom))));
        match chosen {
            Ok(zone) => {
                row.wait = None;
                row.moved += 1;
                row.amount.take(now);
                row.cap.take(now);
                spend(state, meta.service, zone, now);
                return Some(Move { shift: key, zone });
            }
            Err(wait) => row.wait = wait.or(row.wait),
        }
    }
    None
}

/// Counts the request at every shift and cap that it concerns; the most behind comes first.
fn see(state: &mut State, meta: &Meta, settings: Settings, now: Micros) -> Vec<ShiftKey> {
    let mut matching = Vec::new();
    for (key, row) in &mut state.rows {
        if row.service != meta.service || row.from.binary_search(&meta.origin).is_err() {
            continue;
        }
        row.seen += 1;
        let level = level(row, settings, now);
        row.amount.see(level);
        row.cap.see(WHOLE_LEVEL);
        matching.push((row.amount.arrears(now), key));
    }
    for cap in &mut state.caps {
        let concerned = matching
            .iter()
            .any(|(_, key)| overlap(&state.rows[*key].to, &cap.to));
        if cap.service == meta.service && concerned {
            cap.limit.see(WHOLE_LEVEL);
        }
    }
    matching.sort_by(|a, b| b.cmp(a));
    matching.into_iter().map(|(_, key)| key).collect()
}

fn overlap(some: &[ZoneKey], others: &[ZoneKey]) -> bool {
    some.iter().any(|zone| others.binary_search(zone).is_ok())
}

/// The zone with the most granted headroom, or why the shift waits; `None` if it is not due.
fn choose(
    state: &State,
    row: &Row,
    settings: Settings,
    now: Micros,
) -> Result<ZoneKey, Option<Wait>> {
    if row.amount.lacks_part() || row.cap.lacks_part() {
        return Err(Some(Wait::NoPart));
    }
    let level = level(row, settings, now);
    if !row.amount.has_room(level, now) {
        return Err((level < WHOLE_LEVEL).then_some(Wait::Ramp));
    }
    if !row.cap.has_room(WHOLE_LEVEL, now) {
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
        .all(|cap| cap.limit.has_room(WHOLE_LEVEL, now))
}

fn protects(cap: &CapRow, service: ServiceKey, zone: ZoneKey) -> bool {
    cap.service == service && cap.to.binary_search(&zone).is_ok()
}

/// Requests of a service that may be moved to a zone now.
pub(super) fn headroom(state: &State, service: ServiceKey, zone: ZoneKey, now: Micros) -> u32 {
    let valid = state
        .held
        .iter()
        .filter(|held| held.service == service && held.zone == zone && held.until > now);
    valid.map(|held| held.count).sum()
}

fn spend(state: &mut State, service: ServiceKey, zone: ZoneKey, now: Micros) {
    for cap in &mut state.caps {
        if protects(cap, service, zone) {
            cap.limit.take(now);
        }
    }
    let valid = |held: &&mut Held| {
        held.service == service && held.zone == zone && held.until > now && held.count > 0
    };
    if let Some(held) = state
        .held
        .iter_mut()
        .filter(valid)
        .min_by_key(|held| held.until)
    {
        held.count -= 1;
    }
}

/// For which services and zones this VM needs headroom, and how much. Starts a new count of what
/// is due.
pub(super) fn wanted(state: &mut State, home: ZoneKey, now: Micros) -> Vec<Wanted> {
    let mut wanted = Vec::new();
    for row in state.rows.values_mut() {
        if row.from.binary_search(&home).is_err() {
            continue;
        }
        let due = std::mem::take(&mut row.due).saturating_mul(2);
        let zones = row
            .to
            .iter()
            .map(|zone| (row.service, *zone, due.max(LEAST_WANTED)));
        wanted.extend(zones);
    }
    let less_held = |(service, zone, due): (ServiceKey, ZoneKey, u32)| Wanted {
        service,
        zone,
        count: due.saturating_sub(headroom(state, service, zone, now)),
    };
    wanted
        .into_iter()
        .map(less_held)
        .filter(|row| row.count > 0)
        .collect()
}

/// The services of which requests leave the zone `home` under some shift, sorted.
pub(super) fn shifted(state: &State, home: ZoneKey) -> Vec<ServiceKey> {
    let leaving = state
        .rows
        .values()
        .filter(|row| row.from.binary_search(&home).is_ok());
    let mut services: Vec<ServiceKey> = leaving.map(|row| row.service).collect();
    services.sort_unstable();
    services.dedup();
    services
}

/// Takes in granted headroom and forgets what has ended.
pub(super) fn hold(state: &mut State, held: Held, now: Micros) {
    state.held.retain(|row| row.until > now && row.count > 0);
    if held.count > 0 {
        state.held.push(held);
    }
}
