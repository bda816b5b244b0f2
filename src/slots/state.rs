//! State of the slots duty: slots of each upstream, attempts in flight and queued requests.

use {
    super::{budget::Budget, rows::Rows},
    crate::{
        announce::{Absence, Announcement},
        call::Meta,
        clock::Micros,
        keys::{InFlightKey, KindKey, QueuedKey, ServiceKey, UpstreamKey},
        sorted::Sorted,
    },
    slotmap::SlotMap,
    std::sync::Arc,
};

/// Slots of one upstream and its health.
#[derive(Clone, Debug)]
pub struct Row {
    /// Last announcement of the upstream.
    pub announcement: Announcement,
    /// Header value that identifies this VM's lease to the upstream.
    pub holder: Arc<str>,
    /// When the lease expires.
    pub expires: Micros,
    /// Slots taken by attempts of this VM, including abandoned ones that may still run.
    pub taken: u32,
    /// Slots that attempts of previous home VMs may still hold.
    pub inherited: u32,
    /// When inherited slots are considered free if the upstream does not report them.
    pub inherited_until: Option<Micros>,
    /// Why the announce duty reports it absent; `None` while it is present.
    pub absence: Option<Absence>,
    /// Whether an operator drains the upstream, this VM or this availability zone.
    pub drained: bool,
    /// When it joined.
    pub joined: Micros,
    /// Moving average of the duration of successful attempts in microseconds; zero before the first
    /// one.
    pub latency: u64,
    /// Consecutive failed attempts.
    pub failures: u32,
    /// End of its back-off; in the past if it is in none.
    pub backoff: Micros,
    /// Maximum of `taken` since its last load report.
    pub peak: u32,
    /// Requests of other senders, by its last load report; they lower its limit.
    pub external_load: u32,
    /// Retry budget of the upstream.
    pub budget: Budget,
}

impl Row {
    /// Whether it accepts new requests.
    #[must_use]
    pub fn is_open(&self, now: Micros) -> bool {
        self.absence.is_none() && !self.drained && now < self.expires
    }

    /// Slots in use, by this home VM or previous ones.
    #[must_use]
    pub fn used(&self) -> u32 {
        self.taken + self.inherited
    }
}

/// One attempt in flight, which holds one slot.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// Upstream whose slot it holds.
    pub upstream: UpstreamKey,
    /// Number of this attempt of its request, from one.
    pub attempt: u64,
    /// When the slot was taken.
    pub started: Micros,
    /// When the relay abandons the attempt.
    pub until: Micros,
    /// When the upstream must have stopped an abandoned attempt; `None` until it is abandoned.
    pub held_until: Option<Micros>,
}

/// The properties of a request that placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identity, service, kind and deadline.
    pub meta: Meta,
    /// Configured worth of its kind; a higher one is served first.
    pub worth: u16,
    /// Number of the next attempt, from one.
    pub attempt: u64,
    /// Upstream that failed the previous attempt, to be avoided.
    pub avoid: Option<UpstreamKey>,
}

/// A request in the queue of its service.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// Key of the request in `State::waits`.
    pub key: QueuedKey,
    /// The request.
    pub request: Request,
    /// Latest start of an attempt that is expected to meet the deadline.
    pub latest_start: Micros,
}

/// Service time and queue of one service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Moving average of the time for which an attempt holds a slot, in microseconds.
    pub service_time: u64,
    /// Queued requests, by descending worth and ascending deadline.
    pub queue: Vec<QueuedRequest>,
}

/// State of the slots duty: slots of each upstream, attempts in flight and queued requests.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Upstreams by the key that the announce duty assigned.
    pub rows: Rows,
    /// Attempts in flight.
    pub in_flight: SlotMap<InFlightKey, InFlightAttempt>,
    /// Services by key, created on first use.
    pub services: Sorted<ServiceKey, Service>,
    /// Retry budgets by kind.
    pub kinds: Sorted<KindKey, Budget>,
    /// Keys of the queued requests.
    pub waits: SlotMap<QueuedKey, ()>,
    /// Whether this VM or its availability zone is drained.
    pub drained: bool,
}

impl State {
    /// Returns the row of a service and creates it on first use.
    pub(super) fn service(&mut self, key: ServiceKey) -> &mut Service {
        if self.services.get(&key).is_none() {
            self.services.insert(key, Service::default());
        }
        self.services
            .get_mut(&key)
            .expect("the row was just inserted")
    }

    /// Number of queued requests of all services.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.waits.len()
    }
}
