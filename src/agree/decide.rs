//! The replica's decisions: a function of state, input, time and randomness. Without I/O or clock.

use {
    super::{
        apply, elect, install, join, member,
        messages::{MemberChange, Submitted, Unavailable},
        replicate,
        state::{Held, Role, State, Waiting},
        wire::{Body, Content, Envelope, Promise},
    },
    crate::{
        catalog::Order,
        clock::Micros,
        keys::{DiskKey, ExchangeKey, TicketKey},
        policy::{Command, Rejection},
        storage::{Ack, Batch, Entry, Position},
    },
    bytes::Bytes,
    serde::Serialize,
    std::net::SocketAddr,
};

/// Commands that may wait for a quorum at once.
const MOST_WAITING: usize = 1_024;
/// Messages that may wait for the disk at once.
const MOST_HELD: usize = 1_024;
/// A command, as JSON; several have to fit into one message.
const COMMAND_BYTES: usize = 16 << 10;
/// A change of the catalogue, as JSON. A configuration of 350 routes takes 90 KB; a message takes
/// twice the bytes of what it carries, and a peer listener 1 MiB.
const ORDER_BYTES: usize = 448 << 10;

/// What the replica is told.
#[derive(Clone, Debug)]
pub(super) enum Input {
    /// Time has passed.
    Tick,
    /// An operator's command.
    Submit { ticket: TicketKey, command: Command },
    /// A change of the catalogue.
    Order {
        ticket: TicketKey,
        order: Box<Order>,
    },
    /// A read under a quorum.
    Read { ticket: TicketKey },
    /// A change of members.
    Change {
        ticket: TicketKey,
        change: MemberChange,
    },
    /// A peer's message, and the call that waits for the answer.
    Peer {
        envelope: Envelope,
        exchange: Option<ExchangeKey>,
    },
    /// What became of the write under way.
    Storage(Ack),
}

/// What is to be done, in this order.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Make the batch durable and say so; there is never more than one under way.
    Write(Batch),
    /// Send a message, as the answer of `exchange` if there is one.
    Send {
        to: SocketAddr,
        exchange: Option<ExchangeKey>,
        envelope: Envelope,
    },
    /// End a peer's call without an answer.
    Unanswered(ExchangeKey),
    /// Answer a command.
    Answer {
        ticket: TicketKey,
        answer: Submitted,
    },
    /// Answer a read: the state machine holds everything committed before it.
    Read {
        ticket: TicketKey,
        answer: Result<(), Unavailable>,
    },
    /// Answer a change of members.
    Changed {
        ticket: TicketKey,
        answer: Result<Result<(), String>, Unavailable>,
    },
    /// A newer configuration is in force.
    Publish,
    /// This disk is older than it promised: start again as a new one.
    Renew,
    /// Something that an operator should know.
    Note(Note),
}

/// Something that an operator should know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Note {
    /// This replica leads from now on.
    Elected,
    /// This replica no longer leads.
    Deposed,
    /// This replica founded the cluster.
    Founded,
    /// The members changed.
    MembersChanged,
    /// A message came from another cluster.
    OtherCluster,
    /// A leader contradicts a committed entry.
    Contradiction,
    /// A disk is older than it promised.
    OldDisk,
    /// The disk refuses writes.
    DiskFailed,
    /// The disk takes writes again.
    DiskBack,
}

/// One step of a replica.
pub(super) struct Step<'a> {
    pub(super) state: &'a mut State,
    pub(super) now: Micros,
    pub(super) random: u64,
    pub(super) exchange: Option<ExchangeKey>,
    pub(super) out: Vec<Effect>,
}

/// Takes one input.
pub(super) fn step(state: &mut State, input: Input, now: Micros, random: u64) -> Vec<Effect> {
    let mut step = Step {
        state,
        now,
        random,
        exchange: None,
        out: Vec::new(),
    };
    // First, so that a leader that was frozen notices before it takes anything.
    elect::tick(&mut step);
    join::tick(&mut step);
    member::tick(&mut step);
    match input {
        Input::Tick => {}
        Input::Submit { ticket, command } => submit(&mut step, ticket, &command),
        Input::Order { ticket, order } => submit_order(&mut step, ticket, &order),
        Input::Read { ticket } => replicate::read(&mut step, ticket),
        Input::Change { ticket, change } => member::change(&mut step, ticket, change),
        Input::Peer { envelope, exchange } => {
            step.exchange = exchange;
            peer(&mut step, &envelope);
        }
        Input::Storage(ack) => storage(&mut step, ack),
    }
    replicate::send_all(&mut step, false);
    replicate::advance(&mut step);
    apply::apply(&mut step);
    replicate::confirm_reads(&mut step);
    step.flush();
    if let Some(exchange) = step.exchange {
        step.out.push(Effect::Unanswered(exchange));
    }
    step.out
}

/// When the replica next has something to do without being told.
pub(super) fn next_wake(state: &State) -> Micros {
    let beat = match &state.role {
        Role::Leader(leading) => leading.beat,
        _ if state.votes() => state.deadline,
        _ => Micros(u64::MAX),
    };
    beat.min(state.hello)
}

/// Whether this replica leads, or had lately all that a leader said is committed, so that its configuration
/// is not old.
pub(super) fn is_current(state: &State, now: Micros) -> bool {
    let until = state.caught_up.plus_millis(2 * state.settings.election_ms);
    state.leads() || (state.caught_up > Micros(0) && now < until)
}

fn submit(step: &mut Step<'_>, ticket: TicketKey, command: &Command) {
    enter(step, ticket, command, COMMAND_BYTES, Content::Command);
}

fn submit_order(step: &mut Step<'_>, ticket: TicketKey, order: &Order) {
    enter(step, ticket, order, ORDER_BYTES, Content::Order);
}

/// Puts `content` into the log, if this replica leads and there is room.
fn enter(
    step: &mut Step<'_>,
    ticket: TicketKey,
    content: impl Serialize,
    most: usize,
    wrap: impl FnOnce(Bytes) -> Content,
) {
    if let Some(reason) = step.refusal() {
        let answer = Err(reason);
        step.out.push(Effect::Answer { ticket, answer });
        return;
    }
    let waiting = step.state.leading().map_or(0, |row| row.submits.len());
    let Ok(json) = serde_json::to_vec(&content) else {
        return step.out.push(Effect::Answer {
            ticket,
            answer: Err(Unavailable::Busy),
        });
    };
    if json.len() > most {
        let findings = vec![format!("command: expected at most {most} bytes")];
        let answer = Ok(Err(Rejection::Invalid { findings }));
        return step.out.push(Effect::Answer { ticket, answer });
    }
    if waiting >= MOST_WAITING {
        let answer = Err(Unavailable::Busy);
        return step.out.push(Effect::Answer { ticket, answer });
    }
    let at = step.push(&wrap(json.into()));
    if let Some(leading) = step.state.leading() {
        leading.submits.push_back(Waiting { at, ticket });
    }
}

fn storage(step: &mut Step<'_>, ack: Ack) {
    match ack {
        Ack::Synced => {
            if let Some(number) = step.state.writing.take() {
                step.state.written = number;
                step.state.durable = step.state.writing_last;
            }
            if step.state.disk_error.take().is_some() {
                step.note(Note::DiskBack);
            }
            elect::count_own_vote(step);
        }
        Ack::Failed { detail } => {
            if step.state.disk_error.replace(detail).is_none() {
                step.note(Note::DiskFailed);
            }
            let term = step.state.hard.term;
            elect::follow(step, term, DiskKey(0));
        }
    }
}

fn peer(step: &mut Step<'_>, envelope: &Envelope) {
    let own = step.state.hard;
    if envelope.from == own.disk || (envelope.to != own.disk && envelope.to != DiskKey(0)) {
        return;
    }
    if envelope.cluster != 0 && own.cluster != 0 && envelope.cluster != own.cluster {
        step.note(Note::OtherCluster);
        return;
    }
    let known = remember(step, envelope);
    if raises_term(&envelope.body) && envelope.term > step.state.hard.term {
        elect::follow(step, envelope.term, DiskKey(0));
    }
    match &envelope.body {
        Body::Hello { .. } => join::hello(step, envelope, known),
        Body::Welcome { .. } => join::welcome(step, envelope),
        Body::Ask { .. } => elect::ask(step, envelope),
        Body::Vote { .. } => elect::vote(step, envelope),
        Body::Append { .. } => replicate::append(step, envelope),
        Body::Appended { .. } => replicate::appended(step, envelope),
        Body::Install { .. } => install::install(step, envelope),
        Body::Installed { .. } => install::installed(step, envelope),
    }
}

/// Whether the sender's term counts at once. A candidate's counts only if it is listened to.
fn raises_term(body: &Body) -> bool {
    !matches!(
        body,
        Body::Hello { .. } | Body::Welcome { .. } | Body::Ask { .. }
    )
}

/// Notes what the sender has promised, and returns what it had before.
fn remember(step: &mut Step<'_>, envelope: &Envelope) -> Promise {
    let known = step.state.promises.get(&envelope.from).copied();
    let known = known.unwrap_or_default();
    let last = match envelope.body {
        Body::Appended { last, .. } => last,
        _ => Position::default(),
    };
    let now = Promise {
        boot: known.boot.max(envelope.boot),
        term: known.term.max(envelope.term),
        last: known.last.max(last),
    };
    step.state.promises.insert(envelope.from, now);
    known
}

impl Step<'_> {
    pub(super) fn note(&mut self, note: Note) {
        self.out.push(Effect::Note(note));
    }

    /// The instant `ms` milliseconds from now.
    pub(super) fn after(&self, ms: u64) -> Micros {
        self.now.plus_millis(ms)
    }

    /// Why this replica takes nothing from operators, if so.
    pub(super) fn refusal(&self) -> Option<Unavailable> {
        if self.state.leads() {
            return None;
        }
        if let Some(row) = self.state.leader_row() {
            let leader = Some(row.operators.to_string());
            return Some(Unavailable::NotLeader { leader });
        }
        if let Some(detail) = self.state.disk_error.clone() {
            return Some(Unavailable::Disk { detail });
        }
        Some(Unavailable::NoQuorum)
    }

    /// Adds an entry of this leader's term to the log.
    pub(super) fn push(&mut self, content: &Content) -> Position {
        let at = Position {
            term: self.state.hard.term,
            index: self.state.log.last().index + 1,
        };
        let content = postcard::to_stdvec(content).unwrap_or_default().into();
        self.state.push(Entry { at, content });
        at
    }

    /// Writes the hard state.
    pub(super) fn save(&mut self) {
        self.state.queue.hard = Some(self.state.hard);
    }

    /// Answers the sender of `envelope`, once everything up to here is durable.
    pub(super) fn reply(&mut self, envelope: &Envelope, body: Body) {
        let exchange = self.exchange.take();
        self.hold(envelope.origin, envelope.from, exchange, body);
    }

    /// Sends a message, once everything up to here is durable.
    pub(super) fn send(&mut self, to: SocketAddr, disk: DiskKey, body: Body) {
        self.hold(to, disk, None, body);
    }

    /// Sends a message that promises nothing of this disk.
    pub(super) fn send_now(&mut self, to: SocketAddr, disk: DiskKey, body: Body) {
        let envelope = self.envelope(disk, body);
        self.out.push(Effect::Send {
            to,
            exchange: None,
            envelope,
        });
    }

    fn hold(&mut self, to: SocketAddr, disk: DiskKey, exchange: Option<ExchangeKey>, body: Body) {
        if self.state.held.len() >= MOST_HELD {
            // A disk that fails for long; the peer sends again.
            self.out.extend(exchange.map(Effect::Unanswered));
            return;
        }
        let envelope = self.envelope(disk, body);
        self.state.held.push_back(Held {
            write: self.state.pending_write(),
            to,
            exchange,
            envelope,
        });
    }

    fn envelope(&self, to: DiskKey, body: Body) -> Envelope {
        let hard = self.state.hard;
        Envelope {
            cluster: hard.cluster,
            from: hard.disk,
            boot: hard.boot,
            term: hard.term,
            origin: self.state.me.peers,
            to,
            body,
        }
    }

    /// Starts the next write and sends what is no longer to be held back.
    fn flush(&mut self) {
        let state = &mut *self.state;
        if state.writing.is_none() && !state.queue.is_empty() {
            state.writing = Some(state.written + 1);
            state.writing_last = state.log.last().index;
            state.queue.commit = state.commit;
            self.out
                .push(Effect::Write(std::mem::take(&mut state.queue)));
        }
        while state
            .held
            .front()
            .is_some_and(|row| row.write <= state.written)
        {
            let Some(row) = state.held.pop_front() else {
                break;
            };
            self.out.push(Effect::Send {
                to: row.to,
                exchange: row.exchange,
                envelope: row.envelope,
            });
        }
    }
}
