//! Decides how much headroom this VM grants to other zones. Without I/O or clock.

use {
    super::{
        settings::Settings,
        state::{Granted, State},
    },
    crate::{
        clock::Micros,
        keys::{ServiceKey, ZoneKey},
    },
};

const WHOLE_PERMILLE: u64 = 1_000;
/// Milliseconds beyond the lease within which a request sent under it may still arrive.
const FLIGHT_MS: u64 = 500;
/// Milliseconds for which an arrived request stays counted, until the slot counts show it.
const SETTLE_MS: u64 = 50;

/// A question for headroom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Service it is for.
    pub service: ServiceKey,
    /// Zone that asks.
    pub zone: ZoneKey,
    /// Requests that it would like to move.
    pub want: u32,
    /// Slots of the service that are free here now.
    pub free: u32,
}

/// Grants at most what is free, less the reserve and what is owed already.
///
/// The sum of what is owed never exceeds the free slots at the time of a grant, whoever asks.
pub(super) fn grant(state: &mut State, ask: Ask, settings: Settings, now: Micros) -> u32 {
    state.granted.retain(|row| row.until > now && row.count > 0);
    let kept = WHOLE_PERMILLE - u64::from(settings.reserve_permille).min(WHOLE_PERMILLE);
    let open = u64::from(ask.free) * kept / WHOLE_PERMILLE;
    let room = open.saturating_sub(owed(state, ask.service, now));
    let count = u32::try_from(room).unwrap_or(u32::MAX).min(ask.want);
    if count > 0 {
        state.granted.push(Granted {
            service: ask.service,
            zone: ask.zone,
            count,
            until: now.plus_millis(settings.lease_ms + FLIGHT_MS),
        });
    }
    count
}

/// Requests that may still arrive under grants.
pub(super) fn owed(state: &State, service: ServiceKey, now: Micros) -> u64 {
    let valid = |row: &&Granted| row.service == service && row.until > now;
    let counts = state.granted.iter().filter(valid);
    counts.map(|row| u64::from(row.count)).sum()
}

/// Notes that a request moved here from `zone` has arrived.
pub(super) fn arrive(state: &mut State, service: ServiceKey, zone: ZoneKey, now: Micros) {
    let settled = now.plus_millis(SETTLE_MS);
    let open = |row: &&mut Granted| {
        row.service == service && row.zone == zone && row.count > 0 && row.until > settled
    };
    let oldest = state.granted.iter_mut().filter(open);
    let Some(row) = oldest.min_by_key(|row| row.until) else {
        return;
    };
    row.count -= 1;
    let settling = Granted {
        count: 1,
        until: settled,
        ..*row
    };
    state.granted.push(settling);
}
