//! Computes the headroom that this VM grants to other zones. Without I/O or clock.

use {
    super::{
        settings::Settings,
        state::{IssuedGrant, State},
    },
    crate::{
        clock::Micros,
        keys::{ServiceKey, ZoneKey},
    },
};

const FULL_PERMILLE: u64 = 1_000;
/// Time after the end of a lease in which a request sent under it may still arrive.
const TRANSIT_MS: u64 = 500;
/// Time for which a request stays counted after it arrived, until the slot counts include it.
const SETTLE_MS: u64 = 50;

/// Request of another zone for headroom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadroomRequest {
    /// Service that it applies to.
    pub service: ServiceKey,
    /// Requesting zone.
    pub zone: ZoneKey,
    /// Number of requests that the zone would move.
    pub requested: u32,
    /// Free slots of the service on this VM now.
    pub free: u32,
}

/// Grants at most the free slots less the reserve and the outstanding grants.
///
/// The outstanding grants to all zones together never exceed the free slots at the time of a
/// grant. Returns the number of requests granted.
pub(super) fn grant(
    state: &mut State,
    request: HeadroomRequest,
    settings: Settings,
    now: Micros,
) -> u32 {
    state.issued.retain(|row| row.until > now && row.count > 0);
    let grantable = FULL_PERMILLE - u64::from(settings.reserve_permille).min(FULL_PERMILLE);
    let capacity = u64::from(request.free) * grantable / FULL_PERMILLE;
    let available = capacity.saturating_sub(outstanding(state, request.service, now));
    let count = u32::try_from(available)
        .unwrap_or(u32::MAX)
        .min(request.requested);
    if count > 0 {
        state.issued.push(IssuedGrant {
            service: request.service,
            zone: request.zone,
            count,
            until: now.plus_millis(settings.lease_ms + TRANSIT_MS),
        });
    }
    count
}

/// Number of requests that may still arrive under grants.
pub(super) fn outstanding(state: &State, service: ServiceKey, now: Micros) -> u64 {
    let valid = |row: &&IssuedGrant| row.service == service && row.until > now;
    let counts = state.issued.iter().filter(valid);
    counts.map(|row| u64::from(row.count)).sum()
}

/// Records the arrival of a request that was moved here from `zone`.
pub(super) fn record_arrival(state: &mut State, service: ServiceKey, zone: ZoneKey, now: Micros) {
    let settled = now.plus_millis(SETTLE_MS);
    let matches = |row: &&mut IssuedGrant| {
        row.service == service && row.zone == zone && row.count > 0 && row.until > settled
    };
    let oldest = state.issued.iter_mut().filter(matches);
    let Some(row) = oldest.min_by_key(|row| row.until) else {
        return;
    };
    row.count -= 1;
    let settling = IssuedGrant {
        count: 1,
        until: settled,
        ..*row
    };
    state.issued.push(settling);
}
