//! Thread of the claims duty.

use {
    super::{
        decide::{self, LedgerReply, NewAttempt, RunOutcome, Step},
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
        keys::ClaimAttemptKey,
        ledger::{AttemptId, Order},
        ring::{AsyncSender, Rejected, Ring, Sender, Wait},
        slots,
    },
    slotmap::SecondaryMap,
    std::{io, thread::JoinHandle, time::Duration},
};

/// Interval between two checks for attempts whose phase has timed out.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Receive timeout while no attempt is open.
const IDLE: Duration = Duration::from_millis(250);

/// Senders that the duty uses.
#[derive(Clone, Debug)]
pub struct Outputs {
    /// Ring of this duty, for outcomes of runs.
    pub claims: Sender<Message>,
    /// Orders to ledgers.
    pub ledgers: AsyncSender<Broadcast>,
    /// Slots duty, which dispatches requests.
    pub slots: Sender<slots::Message>,
}

/// Starts the duty, which forwards requests of kinds that are not `once` unchanged.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    ring: Ring<Message>,
    outputs: Outputs,
    stop: tokio::sync::oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let duty = Duty {
        context,
        settings,
        outputs,
        state: State::default(),
        calls: SecondaryMap::new(),
        pending_replies: SecondaryMap::new(),
        last_check: Micros(0),
        stop,
    };
    duty::spawn("claims", move || duty.run(&ring))
}

struct Duty {
    context: Context,
    settings: Settings,
    outputs: Outputs,
    state: State,
    // Calls of attempts that collect votes.
    calls: SecondaryMap<ClaimAttemptKey, Call>,
    // Replies that are held back until the response is stored in the ledgers.
    pending_replies: SecondaryMap<ClaimAttemptKey, (Outcome, Reply)>,
    last_check: Micros,
    // Needed because the ring never closes by itself: the duty has a sender to it.
    stop: tokio::sync::oneshot::Receiver<()>,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        loop {
            let timeout = if self.state.attempts.is_empty() {
                IDLE
            } else {
                CHECK_INTERVAL
            };
            match ring.recv_within(timeout) {
                Wait::Message(message) => self.handle(message),
                Wait::Timeout if duty::is_closed(&mut self.stop) => return,
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            self.check_deadlines();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Place(call) if self.runs_once(&call) => self.open(call),
            Message::Place(call) => self.dispatch(call),
            Message::LedgerReply(at, reply) => self.on_reply(at, &reply),
            Message::Ended { at, outcome, reply } => self.on_ended(at, outcome, reply),
        }
    }

    fn runs_once(&self, call: &Call) -> bool {
        self.context.topology.kind_row(call.meta.kind).at_most_once
    }

    fn dispatch(&self, call: Call) {
        if let Err(Rejected::Full(slots::Message::Place(call))) =
            self.outputs.slots.offer(slots::Message::Place(call))
        {
            call.finish(Err(Refusal::not_run(Reason::RingFull)));
        }
    }

    fn open(&mut self, call: Call) {
        let now = self.context.clock.now();
        let Some(group) = home::group_of(&self.settings.groups, &call.key) else {
            return call.finish(Err(Refusal::unknown(Reason::ClaimUnavailable)));
        };
        if self.state.attempts.len() >= self.settings.pending {
            return call.finish(Err(Refusal::unknown(Reason::RingFull)));
        }
        let members = self.settings.groups[group].ledgers.len();
        let deadline = now.plus_millis(self.settings.claim_ms);
        let new = NewAttempt {
            group,
            members: u8::try_from(members).unwrap_or(u8::MAX),
            key: call.key.clone(),
            fingerprint: encode::fingerprint(&call),
            id: AttemptId(rand::random(), rand::random()),
            deadline: deadline.min(call.meta.deadline),
        };
        let run = call.meta.deadline.since(now).as_millis();
        let at = decide::open(&mut self.state, new);
        let order = decide::claim(
            &self.state.attempts[at],
            u64::try_from(run).unwrap_or(u64::MAX),
        );
        self.calls.insert(at, call);
        self.broadcast(at, group, Phase::Claiming, order);
    }

    fn broadcast(&mut self, at: ClaimAttemptKey, group: usize, phase: Phase, order: Order) {
        let members = self.settings.groups[group].ledgers.len();
        let message = Broadcast {
            at,
            group,
            phase,
            order,
        };
        if self.outputs.ledgers.offer(message).is_ok() {
            return;
        }
        self.context.metrics.count("claim_orders_dropped", 1);
        for ledger in 0..u8::try_from(members).unwrap_or(u8::MAX) {
            let reply = None;
            self.on_reply(
                at,
                &LedgerReply {
                    ledger,
                    phase,
                    reply,
                },
            );
        }
    }

    fn on_reply(&mut self, at: ClaimAttemptKey, reply: &LedgerReply) {
        let now = self.context.clock.now();
        if let Some(step) = decide::on_reply(&mut self.state, at, reply, now) {
            self.step(at, step);
        }
    }

    fn check_deadlines(&mut self) {
        let now = self.context.clock.now();
        if now.since(self.last_check) < CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        for (at, step) in decide::expired(&mut self.state, now) {
            self.step(at, step);
        }
    }

    fn step(&mut self, at: ClaimAttemptKey, step: Step) {
        match step {
            Step::Dispatch => self.start(at),
            Step::Finish => {
                decide::close(&mut self.state, at);
                if let Some((outcome, reply)) = self.pending_replies.remove(at) {
                    reply(outcome);
                }
            }
            Step::Replay(answer) => {
                let outcome = encode::decode_answer(&answer);
                let lost = Refusal::unknown(Reason::MayHaveRun);
                self.context.metrics.count("claim_replayed", 1);
                self.finish_without_run(at, outcome.ok_or(lost));
            }
            Step::Refuse(refusal) => self.finish_without_run(at, Err(refusal)),
        }
    }

    fn start(&mut self, at: ClaimAttemptKey) {
        let Some(mut call) = self.calls.remove(at) else {
            return;
        };
        call.mark_claimed();
        self.context.metrics.count("claim_granted", 1);
        let claims = self.outputs.claims.clone();
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

    /// Responds to the caller of an attempt that did not run, and releases its votes.
    fn finish_without_run(&mut self, at: ClaimAttemptKey, outcome: Outcome) {
        if let Some(mut call) = self.calls.remove(at) {
            call.mark_claimed();
            call.finish(outcome);
        }
        if let Some(row) = decide::close(&mut self.state, at) {
            let order = decide::release(&row);
            self.broadcast(at, row.group, Phase::Closing, order);
        }
    }

    fn on_ended(&mut self, at: ClaimAttemptKey, outcome: Outcome, reply: Reply) {
        let Some(group) = self.state.attempts.get(at).map(|row| row.group) else {
            return reply(outcome);
        };
        let max_bytes = self.settings.answer_bytes;
        let run = match &outcome {
            Ok(answer) => encode::encode_answer(answer, max_bytes)
                .map_or(RunOutcome::Lost, RunOutcome::Answer),
            Err(refusal) if refusal.ran == Ran::No => RunOutcome::NotRun,
            Err(_) => RunOutcome::Lost,
        };
        if let RunOutcome::Answer(_) = run {
            self.pending_replies.insert(at, (outcome, reply));
        } else {
            reply(outcome);
        }
        let now = self.context.clock.now();
        let deadline = now.plus_millis(self.settings.store_ms);
        if let Some(order) = decide::ended(&mut self.state, at, run, deadline) {
            self.broadcast(at, group, Phase::Closing, order);
        }
    }
}
