//! The thread of the claims duty.

use {
    super::{
        decide::{self, Ending, Heard, Opening, Step},
        encode, home,
        messages::{Broadcast, Message},
        settings::Settings,
        state::{Phase, State},
    },
    crate::{
        call::{Call, Outcome, Ran, Reason, Refusal, Reply},
        clock::Micros,
        context::Context,
        duty,
        keys::TryKey,
        ledger::{Attempt, Order},
        ring::{Outbox, Rejected, Ring, Sender, Wait},
        slots,
    },
    slotmap::SecondaryMap,
    std::{io, thread::JoinHandle, time::Duration},
};

/// Time between two looks for tries that have waited too long.
const TICK: Duration = Duration::from_millis(10);
const IDLE: Duration = Duration::from_millis(250);

/// What the duty is wired to.
#[derive(Clone, Debug)]
pub struct Wires {
    /// This duty, for the ends of runs.
    pub claims: Sender<Message>,
    /// Orders to ledgers.
    pub ledgers: Outbox<Broadcast>,
    /// Where requests go on.
    pub slots: Sender<slots::Message>,
}

/// Starts the duty. Requests of kinds that need not run once pass through.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    ring: Ring<Message>,
    wires: Wires,
    stop: tokio::sync::oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let duty = Duty {
        context,
        settings,
        wires,
        state: State::default(),
        calls: SecondaryMap::new(),
        ends: SecondaryMap::new(),
        checked: Micros(0),
        stop,
    };
    duty::spawn("claims", move || duty.run(&ring))
}

struct Duty {
    context: Context,
    settings: Settings,
    wires: Wires,
    state: State,
    // Calls of tries that gather votes.
    calls: SecondaryMap<TryKey, Call>,
    // Answers of tries whose outcome is being stored.
    ends: SecondaryMap<TryKey, (Outcome, Reply)>,
    checked: Micros,
    // The duty holds a sender of its own ring, so that does not close by itself.
    stop: tokio::sync::oneshot::Receiver<()>,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        loop {
            let limit = if self.state.tries.is_empty() {
                IDLE
            } else {
                TICK
            };
            match ring.recv_within(limit) {
                Wait::Message(message) => self.handle(message),
                Wait::Timeout if duty::is_closed(&mut self.stop) => return,
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            self.check();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Place(call) if self.runs_once(&call) => self.open(call),
            Message::Place(call) => self.dispatch(call),
            Message::Heard(at, heard) => self.heard(at, &heard),
            Message::Ended { at, outcome, reply } => self.ended(at, outcome, reply),
        }
    }

    fn runs_once(&self, call: &Call) -> bool {
        self.context.topology.kind_row(call.meta.kind).once
    }

    fn dispatch(&self, call: Call) {
        if let Err(Rejected::Full(slots::Message::Place(call))) =
            self.wires.slots.offer(slots::Message::Place(call))
        {
            call.finish(Err(Refusal::not_run(Reason::RingFull)));
        }
    }

    fn open(&mut self, call: Call) {
        let now = self.context.clock.now();
        let Some(group) = home::group_of(&self.settings.groups, &call.key) else {
            return call.finish(Err(Refusal::unknown(Reason::ClaimUnavailable)));
        };
        if self.state.tries.len() >= self.settings.pending {
            return call.finish(Err(Refusal::unknown(Reason::RingFull)));
        }
        let members = self.settings.groups[group].ledgers.len();
        let limit = now.plus_millis(self.settings.claim_ms);
        let opening = Opening {
            group,
            members: u8::try_from(members).unwrap_or(u8::MAX),
            key: call.key.clone(),
            print: encode::fingerprint(&call),
            attempt: Attempt(rand::random(), rand::random()),
            limit: limit.min(call.meta.deadline),
        };
        let run = call.meta.deadline.since(now).as_millis();
        let at = decide::open(&mut self.state, opening);
        let order = decide::claim(
            &self.state.tries[at],
            u64::try_from(run).unwrap_or(u64::MAX),
        );
        self.calls.insert(at, call);
        self.broadcast(at, group, Phase::Claiming, order);
    }

    fn broadcast(&mut self, at: TryKey, group: usize, phase: Phase, order: Order) {
        let members = self.settings.groups[group].ledgers.len();
        let message = Broadcast {
            at,
            group,
            phase,
            order,
        };
        if self.wires.ledgers.offer(message).is_ok() {
            return;
        }
        self.context.metrics.count("claim_orders_dropped", 1);
        for ledger in 0..u8::try_from(members).unwrap_or(u8::MAX) {
            let reply = None;
            self.heard(
                at,
                &Heard {
                    ledger,
                    phase,
                    reply,
                },
            );
        }
    }

    fn heard(&mut self, at: TryKey, heard: &Heard) {
        let now = self.context.clock.now();
        if let Some(step) = decide::heard(&mut self.state, at, heard, now) {
            self.step(at, step);
        }
    }

    fn check(&mut self) {
        let now = self.context.clock.now();
        if now.since(self.checked) < TICK {
            return;
        }
        self.checked = now;
        for (at, step) in decide::due(&mut self.state, now) {
            self.step(at, step);
        }
    }

    fn step(&mut self, at: TryKey, step: Step) {
        match step {
            Step::Dispatch => self.start(at),
            Step::Finish => {
                decide::close(&mut self.state, at);
                if let Some((outcome, reply)) = self.ends.remove(at) {
                    reply(outcome);
                }
            }
            Step::Stored(answer) => {
                let outcome = encode::restore(&answer);
                let lost = Refusal::unknown(Reason::MayHaveRun);
                self.context.metrics.count("claim_replayed", 1);
                self.give_up(at, outcome.ok_or(lost));
            }
            Step::Refuse(refusal) => self.give_up(at, Err(refusal)),
        }
    }

    fn start(&mut self, at: TryKey) {
        let Some(call) = self.calls.remove(at) else {
            return;
        };
        self.context.metrics.count("claim_granted", 1);
        let claims = self.wires.claims.clone();
        let call = call.on_finish(move |outcome, reply| {
            let ended = Message::Ended { at, outcome, reply };
            if let Err(
                Rejected::Full(Message::Ended { outcome, reply, .. })
                | Rejected::Closed(Message::Ended { outcome, reply, .. }),
            ) = claims.offer(ended)
            {
                reply(outcome);
            }
        });
        self.dispatch(call);
    }

    /// Answers a try that did not run, and gives back its votes.
    fn give_up(&mut self, at: TryKey, outcome: Outcome) {
        if let Some(call) = self.calls.remove(at) {
            call.finish(outcome);
        }
        if let Some(row) = decide::close(&mut self.state, at) {
            let order = decide::release(&row);
            self.broadcast(at, row.group, Phase::Closing, order);
        }
    }

    fn ended(&mut self, at: TryKey, outcome: Outcome, reply: Reply) {
        let Some(group) = self.state.tries.get(at).map(|row| row.group) else {
            return reply(outcome);
        };
        let most = self.settings.answer_bytes;
        let ending = match &outcome {
            Ok(answer) => encode::store(answer, most).map_or(Ending::Lost, Ending::Answer),
            Err(refusal) if refusal.ran == Ran::No => Ending::NotRun,
            Err(_) => Ending::Lost,
        };
        if let Ending::Answer(_) = ending {
            self.ends.insert(at, (outcome, reply));
        } else {
            reply(outcome);
        }
        let now = self.context.clock.now();
        let limit = now.plus_millis(self.settings.store_ms);
        if let Some(order) = decide::ended(&mut self.state, at, ending, limit) {
            self.broadcast(at, group, Phase::Closing, order);
        }
    }
}
