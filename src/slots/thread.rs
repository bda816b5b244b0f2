//! The thread of the slots duty.

use {
    super::{
        decide,
        messages::{Message, Status},
        settings::Settings,
        state::{Row, State},
    },
    crate::{
        call::{Answer, Call, Ran, Reason, Refusal},
        context::Context,
        explain::Step,
        forward,
        keys::FlightKey,
        policy::Policy,
        relay::{Dispatch, Failure},
        ring::{Outbox, Rejected, Ring},
    },
    std::{io, sync::Arc, thread::JoinHandle},
};

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
        context,
        settings,
        out,
        state: State::default(),
        policy: Arc::default(),
    };
    std::thread::Builder::new()
        .name("slots".to_owned())
        .spawn(move || duty.run(&ring))
}

/// Where calls go from here.
#[derive(Clone, Debug)]
pub struct Out {
    /// Attempts at upstreams of this zone.
    pub relay: Outbox<Dispatch>,
    /// Requests for another zone.
    pub forward: Outbox<forward::Message>,
}

struct Duty {
    context: Context,
    settings: Settings,
    out: Out,
    state: State,
    policy: Arc<Policy>,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        while let Some(message) = ring.recv() {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Place(call) if self.is_elsewhere(&call) => self.forward(call),
            Message::Place(call) => self.place(call, 1),
            Message::Done {
                flight,
                call,
                result,
            } => self.done(flight, call, result),
            Message::Upstream(notice) => decide::notice(&mut self.state, &self.policy, notice),
            Message::Policy(policy) => {
                decide::apply_policy(&mut self.state, &policy);
                self.policy = policy;
            }
            Message::Read(reply) => reply(self.state.rows.values().map(status).collect()),
        }
    }

    fn place(&mut self, call: Call, attempt: u64) {
        let now = self.context.clock.now();
        match decide::take(&mut self.state, &call.meta, attempt, now) {
            Ok((flight, address)) => self.dispatch(Dispatch {
                flight,
                address,
                call,
            }),
            Err(refusal) => call.finish(Err(refusal)),
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let flight = dispatch.flight;
        let (id, address) = (dispatch.call.meta.id, dispatch.address);
        let attempt = self
            .state
            .flights
            .get(flight)
            .map_or(0, |flight| flight.attempt);
        self.context.note(id, Step::Dispatched { address, attempt });
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

    fn forward(&self, call: Call) {
        let message = forward::Message::Send(call);
        if let Err(Rejected::Full(forward::Message::Send(call))) = self.out.forward.offer(message) {
            call.finish(Err(Refusal::not_run(Reason::RingFull)));
        }
    }

    fn done(&mut self, flight: FlightKey, call: Call, result: Result<Answer, Failure>) {
        let ended = decide::free(&mut self.state, flight);
        let attempt = ended.map_or(u64::MAX, |flight| flight.attempt);
        if let Err(Failure { reason, ran }) = result {
            self.context
                .note(call.meta.id, Step::Failed { reason, ran });
        }
        match result {
            Ok(answer) => call.finish(Ok(answer)),
            Err(failure) if decide::may_retry(self.settings, failure, attempt) => {
                self.context.metrics.retry(failure.reason);
                self.place(call, attempt + 1);
            }
            Err(failure) => call.finish(Err(refusal(failure))),
        }
    }
}

fn refusal(failure: Failure) -> Refusal {
    match failure.ran {
        Ran::No => Refusal::not_run(failure.reason),
        Ran::Unknown => Refusal::unknown(failure.reason),
    }
}

fn status(row: &Row) -> Status {
    Status {
        name: row.said.name.clone(),
        service: row.said.service,
        limit: u32::from(row.said.slots),
        taken: row.taken,
        open: row.is_open(),
    }
}
