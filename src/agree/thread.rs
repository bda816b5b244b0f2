//! The thread of the agree duty.

use {
    super::{
        decide::{self, Effect, Input, Note},
        member,
        messages::{Changed, Message, PeerReply, Submitted, Unavailable},
        settings::{MemberConfig, Settings},
        state::State,
        transport::{Outbox, Packet},
    },
    crate::{
        context::Context,
        duty,
        keys::{DiskKey, ExchangeKey, TicketKey},
        observe::{Event, report},
        policy::Policy,
        ring::{Ring, Sender, Wait},
        storage::{self, Recovered, Report},
    },
    slotmap::SlotMap,
    std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration},
    tokio::sync::watch,
};

/// Receipts that go out with a configuration, so that entry VMs can be sent only what is new.
const PUBLISHED_RECEIPTS: usize = 256;
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// What a replica starts from.
#[derive(Debug)]
pub struct Setup {
    /// Settings of the duty.
    pub settings: Settings,
    /// This control VM.
    pub local: MemberConfig,
    /// What its disk held.
    pub recovered: Recovered,
}

/// Where what the duty does goes to.
#[derive(Debug)]
pub struct Outputs {
    /// Batches to be made durable.
    pub storage: Sender<storage::Message>,
    /// Messages to other replicas.
    pub peers: Outbox,
    /// Each new configuration, with the latest receipts.
    pub policies: watch::Sender<Arc<Policy>>,
    /// Whether news reach this replica.
    pub is_current: watch::Sender<bool>,
    /// Peer listeners of the members.
    pub members: watch::Sender<Arc<Vec<SocketAddr>>>,
}

/// Starts the duty; [`Message::Stop`] ends it.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    setup: Setup,
    ring: Ring<Message>,
    outputs: Outputs,
) -> io::Result<JoinHandle<()>> {
    let run = move || Duty::new(context, setup, outputs).run(&ring);
    duty::spawn("agree", run)
}

/// Who waits for an answer.
enum Waiting {
    Submit(Box<dyn FnOnce(Submitted) + Send>),
    Read(Box<dyn FnOnce(Result<Arc<Policy>, Unavailable>) + Send>),
    Members(Box<dyn FnOnce(Changed) + Send>),
}

struct Duty {
    context: Context,
    settings: Settings,
    me: MemberConfig,
    outputs: Outputs,
    state: State,
    /// Whether the disk is being renewed; nothing is taken until then.
    renewing: bool,
    waiting: SlotMap<TicketKey, Waiting>,
    exchanges: SlotMap<ExchangeKey, PeerReply>,
}

impl Duty {
    fn new(context: Context, setup: Setup, outputs: Outputs) -> Self {
        let now = context.clock.now();
        let state = State::new(
            setup.settings.clone(),
            setup.local.clone(),
            setup.recovered,
            now,
        );
        let duty = Self {
            context,
            settings: setup.settings,
            me: setup.local,
            outputs,
            state,
            renewing: false,
            waiting: SlotMap::default(),
            exchanges: SlotMap::default(),
        };
        duty.publish();
        duty
    }

    fn run(mut self, ring: &Ring<Message>) {
        loop {
            let now = self.context.clock.now();
            let wait = decide::next_wake(&self.state).since(now).min(LONGEST_WAIT);
            match ring.recv_within(wait) {
                Wait::Message(Message::Stop) | Wait::Closed => return,
                Wait::Message(message) => self.handle(message),
                Wait::Timeout => self.step(Input::Tick),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        if self.renewing && !matches!(message, Message::Storage(_)) {
            // Dropped replies answer for themselves.
            return;
        }
        match message {
            Message::Submit { command, reply } => {
                let ticket = self.waiting.insert(Waiting::Submit(reply));
                self.step(Input::Submit { ticket, command });
            }
            Message::Order { order, reply } => {
                let ticket = self.waiting.insert(Waiting::Submit(reply));
                self.step(Input::Order { ticket, order });
            }
            Message::Read { reply } => {
                let ticket = self.waiting.insert(Waiting::Read(reply));
                self.step(Input::Read { ticket });
            }
            Message::Members { change, reply } => {
                let ticket = self.waiting.insert(Waiting::Members(reply));
                self.step(match change {
                    Some(change) => Input::Change { ticket, change },
                    None => Input::Read { ticket },
                });
            }
            Message::Peer { envelope, reply } => {
                let exchange = reply.map(|reply| self.exchanges.insert(reply));
                self.step(Input::Peer { envelope, exchange });
            }
            Message::Storage(Report::Ack(ack)) => self.step(Input::Storage(ack)),
            Message::Storage(Report::Renewed(found)) => self.restart(found),
            Message::Stop => {}
        }
    }

    fn step(&mut self, input: Input) {
        if self.renewing {
            return;
        }
        let now = self.context.clock.now();
        for effect in decide::step(&mut self.state, input, now, rand::random()) {
            self.carry_out(effect);
        }
        let is_current = decide::is_current(&self.state, now);
        self.outputs.is_current.send_if_modified(|seen| {
            let changed = *seen != is_current;
            *seen = is_current;
            changed
        });
        self.show_members();
    }

    fn show_members(&self) {
        let rows = &self.state.members().rows;
        self.outputs.members.send_if_modified(|seen| {
            let same =
                seen.len() == rows.len() && seen.iter().zip(rows).all(|(a, row)| *a == row.peers);
            if !same {
                *seen = Arc::new(rows.iter().map(|row| row.peers).collect());
            }
            !same
        });
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Write(batch) => {
                self.context.metrics.count("log_writes", 1);
                self.store(storage::Message::Write(batch));
            }
            Effect::Send {
                to,
                exchange,
                envelope,
            } => {
                let reply = exchange.and_then(|key| self.exchanges.remove(key));
                match reply {
                    Some(reply) => reply(Some(envelope)),
                    None => self.post(Packet { to, envelope }),
                }
            }
            Effect::Unanswered(exchange) => drop(self.exchanges.remove(exchange)),
            Effect::Answer { ticket, answer } => self.answer(ticket, answer),
            Effect::Read { ticket, answer } => self.answer_read(ticket, answer),
            Effect::Changed { ticket, answer } => self.answer_change(ticket, answer),
            Effect::Publish => self.publish(),
            Effect::Renew => self.renew(),
            Effect::Note(note) => self.note(note),
        }
    }

    fn store(&mut self, message: storage::Message) {
        // There is room: never more than one message is under way.
        if self.outputs.storage.offer(message).is_err() {
            self.context.metrics.count("storage_ended", 1);
        }
    }

    fn post(&self, packet: Packet) {
        if self.outputs.peers.try_send(packet).is_err() {
            self.context.metrics.count("peer_messages_dropped", 1);
        }
    }

    fn answer(&mut self, ticket: TicketKey, answer: Submitted) {
        self.context.metrics.count("commands", 1);
        self.count(answer.as_ref().err());
        if let Some(Waiting::Submit(reply)) = self.waiting.remove(ticket) {
            reply(answer);
        }
    }

    fn count(&self, reason: Option<&Unavailable>) {
        if let Some(reason) = reason {
            self.context.metrics.count(reason.counter(), 1);
        }
    }

    fn answer_read(&mut self, ticket: TicketKey, answer: Result<(), Unavailable>) {
        self.count(answer.as_ref().err());
        match self.waiting.remove(ticket) {
            Some(Waiting::Read(reply)) => {
                reply(answer.map(|()| Arc::clone(&self.state.machine)));
            }
            Some(Waiting::Members(reply)) => reply(answer.map(|()| Ok(self.members()))),
            Some(Waiting::Submit(_)) | None => {}
        }
    }

    fn answer_change(
        &mut self,
        ticket: TicketKey,
        answer: Result<Result<(), String>, Unavailable>,
    ) {
        self.count(answer.as_ref().err());
        if let Some(Waiting::Members(reply)) = self.waiting.remove(ticket) {
            reply(answer.map(|done| done.map(|()| self.members())));
        }
    }

    fn members(&self) -> Vec<super::MemberStatus> {
        member::status(&self.state, self.context.clock.now())
    }

    fn publish(&self) {
        let mut policy = self.state.machine.without_receipts();
        let receipts = &self.state.machine.receipts;
        let recent = receipts.len().saturating_sub(PUBLISHED_RECEIPTS);
        policy.receipts.extend_from_slice(&receipts[recent..]);
        policy.catalog = Arc::clone(&self.state.machine.catalog);
        let version = policy.version;
        self.outputs.policies.send_replace(Arc::new(policy));
        let level = usize::try_from(version).unwrap_or(usize::MAX);
        self.context.metrics.level("version", level);
        if version > 0 {
            report(Event::CONFIG_APPLIED, format_args!("version {version}"));
        }
    }

    fn renew(&mut self) {
        self.renewing = true;
        self.waiting.clear();
        self.exchanges.clear();
        // Waits for the write under way, which the storage duty may be retrying.
        let disk = DiskKey(rand::random::<u64>() | 1);
        self.store(storage::Message::Renew(disk));
    }

    fn restart(&mut self, found: Recovered) {
        let now = self.context.clock.now();
        let version = self.state.machine.version;
        self.state = State::new(self.settings.clone(), self.me.clone(), found, now);
        self.renewing = false;
        report(
            Event::DISK_RENEWED,
            format_args!("was at version {version}"),
        );
    }

    fn note(&self, note: Note) {
        let (event, counter) = match note {
            Note::Elected => (Event::LEADING, "elected"),
            Note::Deposed => (Event::DEPOSED, "deposed"),
            Note::Founded => (Event::FOUNDED, "founded"),
            Note::MembersChanged => (Event::MEMBERS_CHANGED, "members_changed"),
            Note::OtherCluster => (Event::OTHER_CLUSTER, "other_cluster"),
            Note::Contradiction => (Event::CONTRADICTION, "contradiction"),
            Note::OldDisk => (Event::OLD_DISK, "old_disk"),
            Note::DiskFailed => (Event::DISK_FAILED, "disk_failed"),
            Note::DiskBack => (Event::DISK_BACK, "disk_back"),
        };
        self.context.metrics.count(counter, 1);
        let term = self.state.hard.term;
        match &self.state.disk_error {
            Some(error) => report(event, format_args!("term {term}: {error}")),
            None => report(event, format_args!("term {term}")),
        }
    }
}
