//! Queue of requests that wait for a slot, ordered by worth and deadline. Performs no I/O and reads
//! no clock.

use {
    super::{
        choose::{capacity, choose},
        decide::{Grant, take},
        settings::Settings,
        state::{QueuedRequest, Request, State},
    },
    crate::{
        call::{Reason, Refusal},
        clock::Micros,
        keys::{QueuedKey, ServiceKey},
    },
    std::cmp::Reverse,
};

/// Result of placing a request.
#[derive(Clone, Debug)]
pub(super) enum Placement {
    /// The request has a slot of an upstream.
    Granted(Grant),
    /// The request is queued; another one may have been shed for it.
    Queued {
        /// Key of the request in the queue.
        key: QueuedKey,
        /// The request that was removed from the full queue.
        shed: Option<QueuedKey>,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// Whether the request would get a slot immediately. Also true past its deadline, as it must not be
/// forwarded then.
pub(super) fn has_room(state: &State, settings: Settings, request: &Request, now: Micros) -> bool {
    let expired = request.meta.deadline <= now;
    expired || (!is_outranked(state, request) && choose(state, settings, request, now).is_ok())
}

/// Assigns a slot to the request, queues it or refuses it.
pub(super) fn place(
    state: &mut State,
    settings: Settings,
    request: Request,
    now: Micros,
) -> Placement {
    if request.meta.deadline <= now {
        return refuse(Reason::DeadlineExceeded);
    }
    if is_outranked(state, &request) {
        return enqueue(state, settings, request, now);
    }
    match choose(state, settings, &request, now) {
        Ok(upstream) => Placement::Granted(take(state, settings, &request, upstream, now)),
        Err(Reason::NoSlot) => enqueue(state, settings, request, now),
        Err(reason) => refuse(reason),
    }
}

/// Assigns released slots to queued requests, and refuses those that can no longer be served.
pub(super) fn serve_queue(
    state: &mut State,
    settings: Settings,
    service: ServiceKey,
    now: Micros,
) -> Vec<(QueuedKey, Placement)> {
    let mut placements = expire(state, service, now);
    while let Some(head) = state.service(service).queue.first().copied() {
        let placement = match choose(state, settings, &head.request, now) {
            Ok(upstream) => Placement::Granted(take(state, settings, &head.request, upstream, now)),
            Err(Reason::NoSlot) => break,
            Err(reason) => refuse(reason),
        };
        remove_queued(state, service, head.key);
        placements.push((head.key, placement));
    }
    placements
}

/// Removes a request from the queue, such as a cancelled one.
pub(super) fn remove_queued(state: &mut State, service: ServiceKey, key: QueuedKey) {
    let queue = &mut state.service(service).queue;
    queue.retain(|waiting| waiting.key != key);
    state.waits.remove(key);
}

/// Time at which the next queued request expires.
pub(super) fn next_expiry(state: &State) -> Option<Micros> {
    let queues = state.services.rows().iter();
    let latest_start =
        queues.flat_map(|(_, service)| service.queue.iter().map(|row| row.latest_start));
    latest_start.min()
}

/// Removes and refuses the queued requests that can no longer meet their deadline.
fn expire(state: &mut State, service: ServiceKey, now: Micros) -> Vec<(QueuedKey, Placement)> {
    let queue = &state.service(service).queue;
    let expired = queue.iter().filter(|row| row.latest_start <= now);
    let expired: Vec<QueuedKey> = expired.map(|row| row.key).collect();
    let mut placements = Vec::new();
    for key in expired {
        remove_queued(state, service, key);
        placements.push((key, refuse(Reason::DeadlineExceeded)));
    }
    placements
}

/// Queues a request. Refuses it if its expected wait and service time exceed its deadline, if the
/// queue is disabled, or if the queue is full of requests that rank before it or equal to it.
fn enqueue(state: &mut State, settings: Settings, request: Request, now: Micros) -> Placement {
    let service = request.meta.service;
    let capacity = capacity(state, settings, service, now);
    let service_time = state.service(service).service_time;
    let queue = &state.service(service).queue;
    let at = queue.partition_point(|row| rank(&row.request) <= rank(&request));
    let ahead = u64::try_from(at).unwrap_or(u64::MAX);
    let delay = (ahead + 1).saturating_mul(service_time) / capacity.max(1);
    let remaining = request.meta.deadline.0.saturating_sub(now.0);
    if settings.queue == 0 || delay.saturating_add(service_time) > remaining {
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
        remove_queued(state, service, key);
    }
    let key = state.waits.insert(());
    let latest_start = Micros(request.meta.deadline.0 - service_time);
    let waiting = QueuedRequest {
        key,
        request,
        latest_start,
    };
    state.service(service).queue.insert(at, waiting);
    Placement::Queued { key, shed }
}

/// Whether a queued request ranks before this one or equal to it.
fn is_outranked(state: &State, request: &Request) -> bool {
    let service = state.services.get(&request.meta.service);
    let head = service.and_then(|service| service.queue.first());
    head.is_some_and(|head| rank(&head.request) <= rank(request))
}

/// Sort key: higher worth first, then the earlier deadline.
fn rank(request: &Request) -> (Reverse<u16>, Micros) {
    (Reverse(request.worth), request.meta.deadline)
}

fn refuse(reason: Reason) -> Placement {
    Placement::Refused(Refusal::not_run(reason))
}
