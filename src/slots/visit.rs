//! Whether a request of another zone is taken in. Without I/O or clock.

use {
    super::{
        queue,
        settings::Settings,
        state::{Request, State},
    },
    crate::{clock::Micros, keys::ZoneKey},
};

const WHOLE_PERMILLE: u64 = 1_000;

/// Whether the request entered the system in another zone and was forwarded here.
pub(super) fn is_visitor(request: &Request, own: ZoneKey) -> bool {
    request.meta.hops > 0 && request.meta.origin != own
}

/// Whether a visitor gets a slot: at once, without waiting, and with the reserve left free for
/// requests that enter here. So no zone can bring load into another one beyond its room.
pub(super) fn is_welcome(
    state: &State,
    settings: Settings,
    request: &Request,
    now: Micros,
) -> bool {
    let rows = state.rows.values();
    let open = rows.filter(|row| row.said.service == request.meta.service && row.is_open(now));
    let (mut slots, mut used) = (0, 0);
    for row in open {
        slots += u64::from(row.said.slots);
        used += u64::from(row.used());
    }
    let reserve = slots * settings.reserve_permille / WHOLE_PERMILLE;
    let fits = used + 1 + reserve <= slots;
    fits && queue::has_room(state, settings, request, now)
}
