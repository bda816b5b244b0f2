//! The thread of the slots duty.

use {
    super::{
        choose, decide,
        decide::Grant,
        messages::{Message, Status},
        news,
        queue::{self, Placed},
        settings::Settings,
        state::{Request, Row, State},
        visit,
    },
    crate::{
        announce,
        call::{Answer, Call, Ran, Reason, Refusal},
        clock::Micros,
        context::Context,
        drain::{self, Closing},
        duty,
        explain::Step,
        forward,
        keys::{FlightKey, ServiceKey, UpstreamKey, WaitKey},
        policy::Policy,
        relay::{Dispatch, Failure},
        ring::{Outbox, Rejected, Ring, Sender, Wait},
    },
    slotmap::SecondaryMap,
    std::{io, sync::Arc, thread::JoinHandle, time::Duration},
};

const IDLE: Duration = Duration::from_secs(1);
const LEVELS_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the duty; calls go on through `out`.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    ring: Ring<Message>,
    out: Out,
) -> io::Result<JoinHandle<()>> {
    let duty = Duty {
        levelled: context.clock.now(),
        context,
        settings,
        out,
        state: State::default(),
        policy: Arc::default(),
        calls: SecondaryMap::default(),
        told: None,
        idle: Vec::new(),
    };
    duty::spawn("slots", move || duty.run(&ring))
}

/// Where calls go from here.
#[derive(Clone, Debug)]
pub struct Out {
    /// Attempts at upstreams of this zone.
    pub relay: Outbox<Dispatch>,
    /// Requests for another zone.
    pub forward: Outbox<forward::Message>,
    /// News of upstreams that get no new work.
    pub drain: Sender<drain::Message>,
}

struct Duty {
    context: Context,
    settings: Settings,
    out: Out,
    state: State,
    policy: Arc<Policy>,
    /// Calls of the requests that wait.
    calls: SecondaryMap<WaitKey, Call>,
    /// What the drain duty was last told; `None` when it has to be told anew.
    told: Option<Vec<Closing>>,
    /// Drains that ended as they began, until the drain duty knows.
    idle: Vec<Closing>,
    /// When the levels were last published.
    levelled: Micros,
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
            decide::settle(&mut self.state, now);
            self.pump();
            self.tell_drain();
            if self.now().since(self.levelled) >= LEVELS_INTERVAL {
                self.publish();
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Place(call) if self.is_elsewhere(&call) => self.forward(call),
            Message::Place(call) => self.place(call, 1, None),
            Message::Done {
                flight,
                call,
                result,
            } => self.done(flight, call, result),
            Message::Upstream(notice) => {
                let now = self.now();
                self.idle.extend(news::leaves_idle(&self.state, &notice));
                news::notice(&mut self.state, self.settings, &self.policy, notice, now);
            }
            Message::Policy(policy) => {
                let drained = announce::is_drained(&policy, &self.context);
                news::apply_policy(&mut self.state, &policy, drained);
                self.policy = policy;
                self.told = None;
            }
            Message::Read(reply) => reply(self.statuses()),
        }
    }

    fn now(&self) -> Micros {
        self.context.clock.now()
    }

    fn until_wake(&self) -> Duration {
        let now = self.now();
        let times = [
            queue::next_expiry(&self.state),
            decide::next_settle(&self.state),
            choose::next_ramp(&self.state, self.settings, now),
        ];
        let next = times.into_iter().flatten().min();
        next.map_or(IDLE, |next| next.since(now).min(IDLE))
    }

    fn place(&mut self, call: Call, attempt: u64, avoid: Option<UpstreamKey>) {
        let request = Request {
            meta: call.meta,
            worth: self.context.topology.kind_row(call.meta.kind).worth,
            attempt,
            avoid,
        };
        self.drop_cancelled(call.meta.service);
        let now = self.now();
        let ask_peers = call.meta.hops == 0 && attempt == 1;
        if ask_peers && !queue::has_room(&self.state, self.settings, &request, now) {
            // Another VM, of this zone or another, may be the home of one with a free slot.
            self.forward(call);
            return;
        }
        let visitor = visit::is_visitor(&request, self.context.zone);
        if visitor && !visit::is_welcome(&self.state, self.settings, &request, now) {
            call.finish(Err(Refusal::not_run(Reason::NoSlot)));
            return;
        }
        let placed = queue::place(&mut self.state, self.settings, request, now);
        self.carry_out(call, placed);
    }

    fn carry_out(&mut self, call: Call, placed: Placed) {
        match placed {
            Placed::Go(grant) => self.dispatch(call, grant),
            Placed::Refuse(refusal) => call.finish(Err(refusal)),
            Placed::Wait { key, shed } => {
                self.context.metrics.count("queued", 1);
                self.calls.insert(key, call);
                if let Some(call) = shed.and_then(|key| self.calls.remove(key)) {
                    call.finish(Err(Refusal::not_run(Reason::Shed)));
                }
            }
        }
    }

    /// Gives freed slots to requests that wait, and refuses those that have waited too long.
    fn pump(&mut self) {
        let waiting = self.state.services.rows().iter();
        let waiting = waiting.filter(|(_, service)| !service.queue.is_empty());
        let services: Vec<ServiceKey> = waiting.map(|(key, _)| *key).collect();
        for service in services {
            self.drop_cancelled(service);
            let now = self.now();
            for (key, placed) in queue::pump(&mut self.state, self.settings, service, now) {
                if let Some(call) = self.calls.remove(key) {
                    self.carry_out(call, placed);
                }
            }
        }
    }

    /// Ends the waits of callers that have gone.
    fn drop_cancelled(&mut self, service: ServiceKey) {
        let Some(row) = self.state.services.get(&service) else {
            return;
        };
        let gone = row.queue.iter().map(|waiting| waiting.key);
        let gone = gone.filter(|key| self.calls.get(*key).is_some_and(Call::is_cancelled));
        let gone: Vec<WaitKey> = gone.collect();
        for key in gone {
            queue::drop_wait(&mut self.state, service, key);
            if let Some(call) = self.calls.remove(key) {
                self.context.metrics.refuse(Reason::Cancelled, Ran::No);
                call.finish(Err(Refusal::not_run(Reason::Cancelled)));
            }
        }
    }

    fn dispatch(&mut self, call: Call, grant: Grant) {
        let (flight, address) = (grant.flight, grant.address);
        let attempt = self.state.flights[flight].attempt;
        let step = Step::Dispatched { address, attempt };
        self.context.note(call.meta.id, step);
        let dispatch = Dispatch {
            flight,
            address: grant.address,
            holder: grant.holder,
            until: grant.until,
            call,
        };
        if let Err(Rejected::Full(dispatch) | Rejected::Closed(dispatch)) =
            self.out.relay.offer(dispatch)
        {
            decide::free(&mut self.state, flight);
            dispatch
                .call
                .finish(Err(Refusal::not_run(Reason::RingFull)));
        }
    }

    /// Whether the request is to be served in another zone and has not been forwarded yet.
    fn is_elsewhere(&self, call: &Call) -> bool {
        call.meta.target != self.context.zone && call.meta.hops == 0
    }

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

    fn done(&mut self, flight: FlightKey, call: Call, result: Result<Answer, Failure>) {
        let now = self.now();
        match result {
            Ok(answer) => {
                decide::succeed(&mut self.state, flight, now);
                call.finish(Ok(answer));
            }
            Err(failure) => {
                let Failure { reason, ran } = failure;
                self.context.metrics.fail(reason);
                self.context
                    .note(call.meta.id, Step::Failed { reason, ran });
                let ended = decide::fail(&mut self.state, self.settings, flight, failure, now);
                let attempt = ended.map_or(u64::MAX, |flight| flight.attempt);
                self.failed(call, failure, attempt, ended.map(|flight| flight.upstream));
            }
        }
    }

    fn failed(&mut self, call: Call, failure: Failure, attempt: u64, avoid: Option<UpstreamKey>) {
        let repeatable = self.context.topology.kind_row(call.meta.kind).repeatable;
        if !decide::may_retry(self.settings, failure, attempt, repeatable) {
            call.finish(Err(refusal(failure)));
            return;
        }
        if !decide::pay(&mut self.state, self.settings, call.meta.kind) {
            let reason = Reason::RetryBudget;
            call.finish(Err(refusal(Failure { reason, ..failure })));
            return;
        }
        self.context.metrics.retry(failure.reason);
        // A repeatable request may run more than once, so that "not run" stays true only if no
        // attempt may have run.
        let call = if failure.ran == Ran::Unknown {
            call.on_finish(|outcome, reply| reply(outcome.map_err(may_have_run)))
        } else {
            call
        };
        self.place(call, attempt + 1, avoid);
    }

    /// Tells the drain duty which upstreams get no new work, if that has changed.
    fn tell_drain(&mut self) {
        let rows = self.state.rows.values().filter_map(news::closing);
        let closing: Vec<Closing> = rows.chain(self.idle.iter().cloned()).collect();
        if self.told.as_ref() == Some(&closing) {
            return;
        }
        let message = drain::Message::Work {
            policy: Arc::clone(&self.policy),
            closing: closing.clone(),
        };
        let sent = self.out.drain.offer(message).is_ok();
        if sent {
            self.idle.clear();
        }
        self.told = sent.then_some(closing);
    }

    fn publish(&mut self) {
        let now = self.now();
        self.levelled = now;
        let open = self.state.rows.values().filter(|row| row.is_open(now));
        let (mut limit, mut used) = (0, 0);
        for row in open {
            limit += usize::from(row.said.slots);
            used += usize::try_from(row.used()).unwrap_or(0);
        }
        let metrics = &self.context.metrics;
        metrics.level("slots_limit", limit);
        metrics.level("slots_free", limit.saturating_sub(used));
        metrics.level("queue", self.state.waiting());
        metrics.level("attempts", self.state.flights.len());
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
        name: row.said.name.clone(),
        service: row.said.service,
        limit: u32::from(row.said.slots),
        taken: row.taken,
        inherited: row.inherited,
        open: row.is_open(now),
        absence: row.absence,
        drained: row.drained,
    }
}
