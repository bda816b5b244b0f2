//! The thread of the slots duty.

use {
    super::{
        choose, cross_zone, decide,
        decide::Grant,
        messages::{Message, Status},
        notices,
        queue::{self, Placement},
        settings::Settings,
        state::{Request, Row, State},
    },
    crate::{
        announce,
        call::{Answer, Call, Ran, Reason, Refusal},
        clock::Micros,
        context::Context,
        drain::{self, DrainingUpstream},
        duty,
        explain::Step,
        forward,
        keys::{InFlightKey, QueuedKey, ServiceKey, UpstreamKey},
        policy::Policy,
        relay::{Dispatch, Failure},
        ring::{AsyncSender, Rejected, Ring, Sender, Wait},
    },
    slotmap::SecondaryMap,
    std::{io, sync::Arc, thread::JoinHandle, time::Duration},
};

/// Longest wait for a message.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Interval at which gauges are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the duty; calls are sent on through `out`.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    ring: Ring<Message>,
    out: Outputs,
) -> io::Result<JoinHandle<()>> {
    let duty = Duty {
        published_at: context.clock.now(),
        context,
        settings,
        out,
        state: State::default(),
        policy: Arc::default(),
        calls: SecondaryMap::default(),
        last_sent: None,
        idle_drains: Vec::new(),
    };
    duty::spawn("slots", move || duty.run(&ring))
}

/// Senders to the duties that receive calls and drain updates from this one.
#[derive(Clone, Debug)]
pub struct Outputs {
    /// Attempts at upstreams whose home is this VM.
    pub relay: AsyncSender<Dispatch>,
    /// Requests to be served by another VM or availability zone.
    pub forward: AsyncSender<forward::Message>,
    /// Upstreams that are absent or drained.
    pub drain: Sender<drain::Message>,
}

struct Duty {
    context: Context,
    settings: Settings,
    out: Outputs,
    state: State,
    policy: Arc<Policy>,
    /// Calls of the queued requests.
    calls: SecondaryMap<QueuedKey, Call>,
    /// Last list that the drain duty received; `None` if the list has to be sent again.
    last_sent: Option<Vec<DrainingUpstream>>,
    /// Drains that completed immediately, until the drain duty has received them.
    idle_drains: Vec<DrainingUpstream>,
    /// When the gauges were last published.
    published_at: Micros,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        loop {
            match ring.recv_within(self.until_wake()) {
                Wait::Message(message) => self.handle(message),
                Wait::Timeout => self.publish(),
                Wait::Closed => return,
            }
            let now = self.now();
            decide::release_due(&mut self.state, now);
            self.serve_queues();
            self.notify_drain();
            if self.now().since(self.published_at) >= PUBLISH_INTERVAL {
                self.publish();
            }
        }
    }

    /// Applies one message.
    fn handle(&mut self, message: Message) {
        match message {
            Message::Place(call) if self.is_remote(&call) => self.forward(call),
            Message::Place(call) => self.place(call, 1, None),
            Message::Done {
                in_flight,
                call,
                result,
            } => self.complete(in_flight, call, result),
            Message::Upstream(notice) => {
                let now = self.now();
                self.idle_drains
                    .extend(notices::idle_drain(&self.state, &notice));
                notices::apply_notice(&mut self.state, self.settings, &self.policy, notice, now);
            }
            Message::Policy(policy) => {
                let drained = announce::is_drained(&policy, &self.context);
                notices::apply_policy(&mut self.state, &policy, drained);
                self.policy = policy;
                self.last_sent = None;
            }
            Message::Read(reply) => reply(self.statuses()),
        }
    }

    fn now(&self) -> Micros {
        self.context.clock.now()
    }

    /// Time until a deadline of the state is due, at most `MAX_WAIT`.
    fn until_wake(&self) -> Duration {
        let now = self.now();
        let times = [
            queue::next_expiry(&self.state),
            decide::next_release(&self.state),
            choose::next_ramp_step(&self.state, self.settings, now),
        ];
        let next = times.into_iter().flatten().min();
        next.map_or(MAX_WAIT, |next| next.since(now).min(MAX_WAIT))
    }

    /// Places one attempt: forwards it, refuses it, queues it or dispatches it.
    fn place(&mut self, call: Call, attempt: u64, avoid: Option<UpstreamKey>) {
        let request = Request {
            meta: call.meta,
            worth: self.context.topology.kind_row(call.meta.kind).worth,
            attempt,
            avoid,
        };
        self.drop_cancelled(call.meta.service);
        let now = self.now();
        let may_forward = call.meta.hops == 0 && attempt == 1;
        if may_forward && !queue::has_room(&self.state, self.settings, &request, now) {
            // Another VM, in this zone or another, may be home to an upstream with a free slot.
            self.forward(call);
            return;
        }
        let is_cross_zone = cross_zone::is_cross_zone(&request, self.context.zone);
        if is_cross_zone && !cross_zone::is_admitted(&self.state, self.settings, &request, now) {
            call.finish(Err(Refusal::not_run(Reason::NoSlot)));
            return;
        }
        let placement = queue::place(&mut self.state, self.settings, request, now);
        self.apply_placement(call, placement);
    }

    /// Dispatches, queues or refuses the call as decided.
    fn apply_placement(&mut self, call: Call, placement: Placement) {
        match placement {
            Placement::Granted(grant) => self.dispatch(call, grant),
            Placement::Refused(refusal) => call.finish(Err(refusal)),
            Placement::Queued { key, shed } => {
                self.context.metrics.count("queued", 1);
                self.calls.insert(key, call);
                if let Some(call) = shed.and_then(|key| self.calls.remove(key)) {
                    call.finish(Err(Refusal::not_run(Reason::Shed)));
                }
            }
        }
    }

    /// Assigns released slots to queued requests, and refuses the expired ones.
    fn serve_queues(&mut self) {
        let waiting = self.state.services.rows().iter();
        let waiting = waiting.filter(|(_, service)| !service.queue.is_empty());
        let services: Vec<ServiceKey> = waiting.map(|(key, _)| *key).collect();
        for service in services {
            self.drop_cancelled(service);
            let now = self.now();
            for (key, placement) in queue::serve_queue(&mut self.state, self.settings, service, now)
            {
                if let Some(call) = self.calls.remove(key) {
                    self.apply_placement(call, placement);
                }
            }
        }
    }

    /// Removes the queued requests of callers that have disconnected.
    fn drop_cancelled(&mut self, service: ServiceKey) {
        let Some(row) = self.state.services.get(&service) else {
            return;
        };
        let cancelled = row.queue.iter().map(|waiting| waiting.key);
        let cancelled =
            cancelled.filter(|key| self.calls.get(*key).is_some_and(Call::is_cancelled));
        let cancelled: Vec<QueuedKey> = cancelled.collect();
        for key in cancelled {
            queue::remove_queued(&mut self.state, service, key);
            if let Some(call) = self.calls.remove(key) {
                self.context
                    .metrics
                    .count_refusal(Reason::Cancelled, Ran::No);
                call.finish(Err(Refusal::not_run(Reason::Cancelled)));
            }
        }
    }

    /// Sends the attempt to the relay; refuses the call if the ring is full.
    fn dispatch(&mut self, call: Call, grant: Grant) {
        let (in_flight, address) = (grant.in_flight, grant.address);
        let attempt = self.state.in_flight[in_flight].attempt;
        let step = Step::Dispatched { address, attempt };
        self.context.note(call.meta.id, step);
        let dispatch = Dispatch {
            in_flight,
            address: grant.address,
            holder: grant.holder,
            until: grant.until,
            call,
        };
        if let Err(Rejected::Full(dispatch) | Rejected::Closed(dispatch)) =
            self.out.relay.offer(dispatch)
        {
            decide::release(&mut self.state, in_flight);
            dispatch
                .call
                .finish(Err(Refusal::not_run(Reason::RingFull)));
        }
    }

    /// Whether the request is to be served in another availability zone and has not been forwarded
    /// yet.
    fn is_remote(&self, call: &Call) -> bool {
        call.meta.target != self.context.zone && call.meta.hops == 0
    }

    /// Sends the call to the forward duty. If its ring is full, a call for this zone is placed here
    /// and any other is refused.
    fn forward(&mut self, call: Call) {
        let message = forward::Message::Send(call);
        let Err(Rejected::Full(forward::Message::Send(mut call))) = self.out.forward.offer(message)
        else {
            return;
        };
        if call.meta.target == self.context.zone {
            call.meta.hops = 1;
            self.place(call, 1, None);
        } else {
            call.finish(Err(Refusal::not_run(Reason::RingFull)));
        }
    }

    /// Completes an attempt: finishes the call, or handles the failure.
    fn complete(&mut self, in_flight: InFlightKey, call: Call, result: Result<Answer, Failure>) {
        let now = self.now();
        match result {
            Ok(answer) => {
                decide::succeed(&mut self.state, in_flight, now);
                call.finish(Ok(answer));
            }
            Err(failure) => {
                let Failure { reason, ran } = failure;
                self.context.metrics.count_failure(reason);
                self.context
                    .note(call.meta.id, Step::Failed { reason, ran });
                let ended = decide::fail(&mut self.state, self.settings, in_flight, failure, now);
                let attempt = ended.map_or(u64::MAX, |in_flight| in_flight.attempt);
                self.retry_or_refuse(
                    call,
                    failure,
                    attempt,
                    ended.map(|in_flight| in_flight.upstream),
                );
            }
        }
    }

    /// Retries a failed call if the rules and the budget permit it, and refuses it otherwise.
    fn retry_or_refuse(
        &mut self,
        call: Call,
        failure: Failure,
        attempt: u64,
        avoid: Option<UpstreamKey>,
    ) {
        let repeatable = self.context.topology.kind_row(call.meta.kind).repeatable;
        if !decide::may_retry(self.settings, failure, attempt, repeatable) {
            call.finish(Err(refusal(failure)));
            return;
        }
        if !decide::withdraw_retry(&mut self.state, self.settings, call.meta.kind) {
            let reason = Reason::RetryBudget;
            call.finish(Err(refusal(Failure { reason, ..failure })));
            return;
        }
        self.context.metrics.count_retry(failure.reason);
        // A repeatable request may run more than once. A refusal must not report "not run" if any
        // of its attempts may have run.
        let call = if failure.ran == Ran::Unknown {
            call.on_finish(|outcome, reply| reply(outcome.map_err(may_have_run)))
        } else {
            call
        };
        self.place(call, attempt + 1, avoid);
    }

    /// Notifies the drain duty of the upstreams that are absent or drained, if the list has
    /// changed.
    fn notify_drain(&mut self) {
        let rows = self
            .state
            .rows
            .values()
            .filter_map(notices::draining_upstream);
        let draining: Vec<DrainingUpstream> =
            rows.chain(self.idle_drains.iter().cloned()).collect();
        if self.last_sent.as_ref() == Some(&draining) {
            return;
        }
        let message = drain::Message::Update {
            policy: Arc::clone(&self.policy),
            draining: draining.clone(),
        };
        let sent = self.out.drain.offer(message).is_ok();
        if sent {
            self.idle_drains.clear();
        }
        self.last_sent = sent.then_some(draining);
    }

    /// Publishes slot, queue and attempt counts as gauges.
    fn publish(&mut self) {
        let now = self.now();
        self.published_at = now;
        let open = self.state.rows.values().filter(|row| row.is_open(now));
        let (mut limit, mut used) = (0, 0);
        for row in open {
            limit += usize::from(row.announcement.slots);
            used += usize::try_from(row.used()).unwrap_or(0);
        }
        let metrics = &self.context.metrics;
        metrics.set_gauge("slots_limit", limit);
        metrics.set_gauge("slots_free", limit.saturating_sub(used));
        metrics.set_gauge("queue", self.state.queue_len());
        metrics.set_gauge("attempts", self.state.in_flight.len());
    }

    fn statuses(&self) -> Vec<Status> {
        let now = self.now();
        self.state
            .rows
            .values()
            .map(|row| status(row, now))
            .collect()
    }
}

fn may_have_run(refusal: Refusal) -> Refusal {
    Refusal {
        ran: Ran::Unknown,
        ..refusal
    }
}

fn refusal(failure: Failure) -> Refusal {
    match failure.ran {
        Ran::No => Refusal::not_run(failure.reason),
        Ran::Unknown => Refusal::unknown(failure.reason),
    }
}

fn status(row: &Row, now: Micros) -> Status {
    Status {
        name: row.announcement.name.clone(),
        service: row.announcement.service,
        limit: u32::from(row.announcement.slots),
        taken: row.taken,
        inherited: row.inherited,
        open: row.is_open(now),
        absence: row.absence,
        drained: row.drained,
    }
}
