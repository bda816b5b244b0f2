//! The slots of each upstream, the attempts that hold them and the requests that wait for one.

use {
    super::{budget::Budget, rows::Rows},
    crate::{
        announce::{Absence, Announcement},
        call::Meta,
        clock::Micros,
        keys::{FlightKey, KindKey, ServiceKey, UpstreamKey, WaitKey},
        sorted::Sorted,
    },
    slotmap::SlotMap,
    std::sync::Arc,
};

/// One upstream's slots.
#[derive(Clone, Debug)]
pub struct Row {
    /// What the upstream says of itself.
    pub said: Announcement,
    /// Header value that shows this VM's lease to the upstream.
    pub holder: Arc<str>,
    /// When the lease lapses.
    pub lapses: Micros,
    /// Slots taken from here, abandoned attempts included.
    pub taken: u32,
    /// Slots that earlier homes may still hold.
    pub inherited: u32,
    /// When inherited slots are free even if the upstream says nothing of them.
    pub settles: Option<Micros>,
    /// Why it gets no new work, if it does not.
    pub absence: Option<Absence>,
    /// Whether an operator drains it, its VM or its availability zone.
    pub drained: bool,
    /// When it joined.
    pub joined: Micros,
    /// Moving average of the time of an answer in microseconds, zero while unknown.
    pub latency: u64,
    /// Failed attempts in a row.
    pub failures: u32,
    /// Until when it is backed off.
    pub backoff: Micros,
    /// Most slots taken since its last report of load.
    pub peak: u32,
    /// Slots that its last report of load takes away.
    pub reported: u32,
    /// Retries that it may still be given.
    pub budget: Budget,
}

impl Row {
    /// Whether it gets new work.
    #[must_use]
    pub fn is_open(&self, now: Micros) -> bool {
        self.absence.is_none() && !self.drained && now < self.lapses
    }

    /// Slots in use, by this home or earlier ones.
    #[must_use]
    pub fn used(&self) -> u32 {
        self.taken + self.inherited
    }
}

/// One attempt in flight: it holds one slot.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// Upstream whose slot it holds.
    pub upstream: UpstreamKey,
    /// Number of this attempt, from one.
    pub attempt: u64,
    /// When it was sent off.
    pub started: Micros,
    /// When the relay gives it up.
    pub until: Micros,
    /// Once abandoned: when the upstream must have stopped.
    pub held: Option<Micros>,
}

/// A request as the decisions see it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// What is asked for.
    pub meta: Meta,
    /// Stated worth of its kind.
    pub worth: u16,
    /// Number of the attempt that is due, from one.
    pub attempt: u64,
    /// Upstream that failed it last, to be avoided.
    pub avoid: Option<UpstreamKey>,
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Its key.
    pub key: WaitKey,
    /// The request.
    pub request: Request,
    /// When it has waited too long to be answered in time.
    pub latest: Micros,
}

/// What is known of a service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Moving average of the time for which an attempt takes a slot, in microseconds.
    pub busy: u64,
    /// Requests that wait, most worth first.
    pub queue: Vec<Waiting>,
}

/// The slots of each upstream, the attempts that hold them and the requests that wait for one.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Upstreams by the key that the announce duty gave.
    pub rows: Rows,
    /// Attempts in flight.
    pub flights: SlotMap<FlightKey, Flight>,
    /// Services by key.
    pub services: Sorted<ServiceKey, Service>,
    /// Retry budgets by kind.
    pub kinds: Sorted<KindKey, Budget>,
    /// Keys of the waiting requests.
    pub waits: SlotMap<WaitKey, ()>,
    /// Whether the VM or its availability zone is drained.
    pub drained: bool,
}

impl State {
    /// The row of a service, made when it is first asked for.
    pub(super) fn service(&mut self, key: ServiceKey) -> &mut Service {
        if self.services.get(&key).is_none() {
            self.services.insert(key, Service::default());
        }
        self.services
            .get_mut(&key)
            .expect("the row was just inserted")
    }

    /// Requests that wait, over all services.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waits.len()
    }
}
