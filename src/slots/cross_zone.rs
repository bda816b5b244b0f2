//! Admission of requests from other availability zones. Performs no I/O and reads no clock.

use {
    super::{
        queue,
        settings::Settings,
        state::{Request, State},
    },
    crate::{clock::Micros, keys::ZoneKey},
};

const TOTAL_PERMILLE: u64 = 1_000;

/// Whether the request entered the system in another zone and was forwarded here.
pub(super) fn is_cross_zone(request: &Request, local: ZoneKey) -> bool {
    request.meta.hops > 0 && request.meta.origin != local
}

/// Whether a cross-zone request is admitted: only if it gets a slot without queueing and leaves the
/// reserve free for requests that enter in this zone. This keeps one zone from overloading another.
pub(super) fn is_admitted(
    state: &State,
    settings: Settings,
    request: &Request,
    now: Micros,
) -> bool {
    let rows = state.rows.values();
    let open =
        rows.filter(|row| row.announcement.service == request.meta.service && row.is_open(now));
    let (mut slots, mut used) = (0, 0);
    for row in open {
        slots += u64::from(row.announcement.slots);
        used += u64::from(row.used());
    }
    let reserve = slots * settings.reserve_permille / TOTAL_PERMILLE;
    let fits = used + 1 + reserve <= slots;
    fits && queue::has_room(state, settings, request, now)
}
