//! Requests that wait for a slot, ordered by worth and deadline. Without I/O or clock.

use {
    super::{
        choose::{capacity, choose},
        decide::{Grant, take},
        settings::Settings,
        state::{Request, State, Waiting},
    },
    crate::{
        call::{Reason, Refusal},
        clock::Micros,
        keys::{ServiceKey, WaitKey},
    },
    std::cmp::Reverse,
};

/// What becomes of a request that needs a slot.
#[derive(Clone, Debug)]
pub(super) enum Placed {
    /// It goes to an upstream.
    Go(Grant),
    /// It waits; another may have been shed for it.
    Wait {
        /// Its key.
        key: WaitKey,
        /// The request that lost its place.
        shed: Option<WaitKey>,
    },
    /// It is refused.
    Refuse(Refusal),
}

/// Whether the request would get a slot at once, or has no time for another VM.
pub(super) fn has_room(state: &State, settings: Settings, request: &Request, now: Micros) -> bool {
    let late = request.meta.deadline <= now;
    late || (!is_outranked(state, request) && choose(state, settings, request, now).is_ok())
}

/// Gives a request a slot, a place in the queue or a refusal.
pub(super) fn place(
    state: &mut State,
    settings: Settings,
    request: Request,
    now: Micros,
) -> Placed {
    if request.meta.deadline <= now {
        return refuse(Reason::DeadlineExceeded);
    }
    if is_outranked(state, &request) {
        return wait(state, settings, request, now);
    }
    match choose(state, settings, &request, now) {
        Ok(upstream) => Placed::Go(take(state, settings, &request, upstream, now)),
        Err(Reason::NoSlot) => wait(state, settings, request, now),
        Err(reason) => refuse(reason),
    }
}

/// Gives freed slots to those that wait, and ends the waits that are of no use any more.
pub(super) fn pump(
    state: &mut State,
    settings: Settings,
    service: ServiceKey,
    now: Micros,
) -> Vec<(WaitKey, Placed)> {
    let mut placed = expire(state, service, now);
    while let Some(head) = state.service(service).queue.first().copied() {
        let given = match choose(state, settings, &head.request, now) {
            Ok(upstream) => Placed::Go(take(state, settings, &head.request, upstream, now)),
            Err(Reason::NoSlot) => break,
            Err(reason) => refuse(reason),
        };
        drop_wait(state, service, head.key);
        placed.push((head.key, given));
    }
    placed
}

/// Removes a request that no longer waits, such as a cancelled one.
pub(super) fn drop_wait(state: &mut State, service: ServiceKey, key: WaitKey) {
    let queue = &mut state.service(service).queue;
    queue.retain(|waiting| waiting.key != key);
    state.waits.remove(key);
}

/// When the next wait has lasted too long.
pub(super) fn next_expiry(state: &State) -> Option<Micros> {
    let queues = state.services.rows().iter();
    let latest = queues.flat_map(|(_, service)| service.queue.iter().map(|row| row.latest));
    latest.min()
}

fn expire(state: &mut State, service: ServiceKey, now: Micros) -> Vec<(WaitKey, Placed)> {
    let queue = &state.service(service).queue;
    let late = queue.iter().filter(|row| row.latest <= now);
    let late: Vec<WaitKey> = late.map(|row| row.key).collect();
    let mut placed = Vec::new();
    for key in late {
        drop_wait(state, service, key);
        placed.push((key, refuse(Reason::DeadlineExceeded)));
    }
    placed
}

fn wait(state: &mut State, settings: Settings, request: Request, now: Micros) -> Placed {
    let service = request.meta.service;
    let capacity = capacity(state, settings, service, now);
    let busy = state.service(service).busy;
    let queue = &state.service(service).queue;
    let at = queue.partition_point(|row| rank(&row.request) <= rank(&request));
    let ahead = u64::try_from(at).unwrap_or(u64::MAX);
    let delay = (ahead + 1).saturating_mul(busy) / capacity.max(1);
    let left = request.meta.deadline.0.saturating_sub(now.0);
    if settings.queue == 0 || delay.saturating_add(busy) > left {
        return refuse(Reason::NoSlot);
    }
    let mut shed = None;
    if queue.len() >= settings.queue {
        if at == queue.len() {
            return refuse(Reason::Shed);
        }
        shed = queue.last().map(|row| row.key);
    }
    if let Some(key) = shed {
        drop_wait(state, service, key);
    }
    let key = state.waits.insert(());
    let latest = Micros(request.meta.deadline.0 - busy);
    let waiting = Waiting {
        key,
        request,
        latest,
    };
    state.service(service).queue.insert(at, waiting);
    Placed::Wait { key, shed }
}

/// Whether those that wait go before the request.
fn is_outranked(state: &State, request: &Request) -> bool {
    let service = state.services.get(&request.meta.service);
    let head = service.and_then(|service| service.queue.first());
    head.is_some_and(|head| rank(&head.request) <= rank(request))
}

fn rank(request: &Request) -> (Reverse<u16>, Micros) {
    (Reverse(request.worth), request.meta.deadline)
}

fn refuse(reason: Reason) -> Placed {
    Placed::Refuse(Refusal::not_run(reason))
}
