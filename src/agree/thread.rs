//! Thread of the agree duty.

use {
    super::{
        decide::{self, Effect, Input},
        elect, events, join, member,
        messages::{
            ControlVm, Followed, MembersResult, Message, PeerReply, SubmitResult, Unavailable,
        },
        settings::{MemberConfig, Settings},
        state::{State, Timing},
        transport::{Packet, PacketSender},
    },
    crate::{
        clock::Micros,
        context::Context,
        duty,
        keys::{DiskId, OperatorCallKey, PeerCallKey},
        observe::{Event, report},
        policy::Policy,
        ring::{Ring, Sender, Wait},
        storage::{self, Position, Recovered, Report},
    },
    slotmap::SlotMap,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread::JoinHandle,
        time::Duration,
    },
    tokio::sync::watch,
};

/// Latest receipts that are published with a configuration, so that entry VMs can be sent only what
/// is new.
const MAX_PUBLISHED_RECEIPTS: usize = 256;
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Shortest interval in milliseconds between two publications of the configuration: short against the time
/// within which a change has to be in force (2.5 s).
const PUBLISH_INTERVAL_MS: u64 = 25;
/// Interval in milliseconds at which control VMs that are not members are listed anew.
const LIST_INTERVAL_MS: u64 = 250;

/// Inputs to the start of a replica.
#[derive(Debug)]
pub struct Setup {
    /// Settings of the duty.
    pub settings: Settings,
    /// This control VM.
    pub local: MemberConfig,
    /// State recovered from its disk.
    pub recovered: Recovered,
}

/// Outgoing channels of the duty.
#[derive(Debug)]
pub struct Outputs {
    /// Batches to be made durable.
    pub storage: Sender<storage::Message>,
    /// Messages to other replicas.
    pub peers: PacketSender,
    /// Each new configuration, with the latest receipts.
    pub policies: watch::Sender<Arc<Policy>>,
    /// Whether this replica receives updates, so that its configuration is current.
    pub is_current: watch::Sender<bool>,
    /// Whether it receives them by the log, not from a member that it follows.
    pub is_led: watch::Sender<bool>,
    /// Time in microseconds on the process's clock until which it does so if nothing more is heard of the leader.
    pub led_until: Arc<AtomicU64>,
    /// Peer listeners of the members.
    pub members: watch::Sender<Arc<Vec<SocketAddr>>>,
    /// All control VMs, in ascending order of address.
    pub control: watch::Sender<Arc<Vec<ControlVm>>>,
    /// Peer listener of the leader, as far as known.
    pub leader: watch::Sender<Option<SocketAddr>>,
}

/// Starts the duty, which [`Message::Stop`] stops.
///
/// # Errors
/// Returns an error if the thread cannot start.
pub fn spawn(
    context: Context,
    setup: Setup,
    ring: Ring<Message>,
    outputs: Outputs,
) -> io::Result<JoinHandle<()>> {
    let run = move || Duty::new(context, setup, outputs).run(&ring);
    duty::spawn("agree", run)
}

/// Callback of a caller that waits for a result.
enum PendingReply {
    Submit {
        reply: Box<dyn FnOnce(SubmitResult) + Send>,
        /// What an operator ordered, for the log.
        summary: Option<String>,
    },
    Read(Box<dyn FnOnce(Result<Arc<Policy>, Unavailable>) + Send>),
    Members(Box<dyn FnOnce(MembersResult) + Send>),
}

/// Publishes `value` if it differs from what was published.
fn publish_changed<T: PartialEq>(output: &watch::Sender<T>, value: T) {
    output.send_if_modified(|published| {
        let changed = *published != value;
        *published = value;
        changed
    });
}

struct Duty {
    context: Context,
    settings: Settings,
    local: MemberConfig,
    outputs: Outputs,
    state: State,
    /// What the member that this control VM follows named last, unless the log has led this VM since.
    followed: Option<Followed>,
    /// Whether the configuration is newer than what was published, and the last time it was published.
    is_unpublished: bool,
    published_at: Micros,
    /// Time of the last list of control VMs, whether this replica was led then, and the index from which
    /// its members were in force.
    listed: ((bool, u64), Micros),
    /// Whether the disk is being reinitialized; meanwhile only storage reports are handled.
    is_reinitializing: bool,
    /// Callback of a resignation in progress.
    resigned: Option<Box<dyn FnOnce() + Send>>,
    pending: SlotMap<OperatorCallKey, PendingReply>,
    peer_calls: SlotMap<PeerCallKey, PeerReply>,
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
            local: setup.local,
            outputs,
            state,
            followed: None,
            is_unpublished: false,
            published_at: Micros(0),
            listed: ((false, u64::MAX), Micros(0)),
            is_reinitializing: false,
            resigned: None,
            pending: SlotMap::default(),
            peer_calls: SlotMap::default(),
        };
        duty.publish();
        duty
    }

    fn run(mut self, ring: &Ring<Message>) {
        loop {
            let now = self.context.clock.now();
            let mut wake = decide::next_wake(&self.state);
            if self.is_unpublished {
                wake = wake.min(self.published_at.plus_millis(PUBLISH_INTERVAL_MS));
            }
            let wait = wake.since(now).min(MAX_WAIT);
            match ring.recv_within(wait) {
                Wait::Message(Message::Stop) | Wait::Closed => return,
                Wait::Message(message) => self.handle(message),
                Wait::Timeout => self.step(Input::Tick),
            }
            self.report_resignation();
        }
    }

    fn handle(&mut self, message: Message) {
        if self.is_reinitializing && !matches!(message, Message::Storage(_)) {
            // A dropped callback reports the failure to its caller.
            return;
        }
        match message {
            Message::Submit { command, reply } => {
                let summary = None;
                let operator_call = self.pending.insert(PendingReply::Submit { reply, summary });
                self.step(Input::Submit {
                    operator_call,
                    command,
                });
            }
            Message::Order { order, reply } => {
                let summary = order.summary();
                let operator_call = self.pending.insert(PendingReply::Submit { reply, summary });
                self.step(Input::Order {
                    operator_call,
                    order,
                });
            }
            Message::Read { reply } => {
                let operator_call = self.pending.insert(PendingReply::Read(reply));
                self.step(Input::Read { operator_call });
            }
            Message::Members { change, reply } => {
                let operator_call = self.pending.insert(PendingReply::Members(reply));
                self.step(match change {
                    Some(change) => Input::Change {
                        operator_call,
                        change,
                    },
                    None => Input::Read { operator_call },
                });
            }
            Message::Peer { envelope, reply } => {
                let peer_call = reply.map(|reply| self.peer_calls.insert(reply));
                self.step(Input::Peer {
                    envelope,
                    peer_call,
                });
            }
            Message::Followed(followed) => self.follow(followed),
            Message::Storage(Report::Ack(ack)) => self.step(Input::Storage(ack)),
            Message::Storage(Report::Reinitialized(recovered)) => self.restart(recovered),
            Message::Resign { reply } => {
                let successor = elect::successor(&self.state, self.context.clock.now());
                self.step(Input::Resign);
                if successor.is_some() {
                    self.resigned = Some(reply);
                } else {
                    reply();
                }
            }
            Message::Stop => {}
        }
    }

    /// Replies to the caller of a resignation once another replica leads, or after an election time-out.
    fn report_resignation(&mut self) {
        let now = self.context.clock.now();
        let is_late = self.state.resign_by.is_some_and(|by| now >= by);
        let has_leader = !self.state.is_leader() && self.state.leader != DiskId(0);
        if (is_late || has_leader)
            && let Some(reply) = self.resigned.take()
        {
            reply();
        }
    }

    fn step(&mut self, input: Input) {
        if self.is_reinitializing {
            return;
        }
        let now = self.context.clock.now();
        for effect in decide::step(&mut self.state, input, now, rand::random()) {
            self.execute(effect);
        }
        self.publish_due(now);
        self.publish_standing(now);
    }

    /// Publishes the configuration if it is newer than what was published and the last time is long enough
    /// ago: each time, the next change copies the whole catalogue.
    fn publish_due(&mut self, now: Micros) {
        if self.is_unpublished && now >= self.published_at.plus_millis(PUBLISH_INTERVAL_MS) {
            self.is_unpublished = false;
            self.published_at = now;
            self.publish();
        }
    }

    /// Adopts what a member that this control VM follows knows.
    fn follow(&mut self, mut followed: Followed) {
        let now = self.context.clock.now();
        self.state.followed_until = now.plus_millis(followed.valid_ms);
        if let Some(catalog) = followed.catalog.take() {
            self.publish_newer("a copy", |policy| policy.catalog = catalog);
        }
        self.followed = Some(followed);
        self.step(Input::Tick);
    }

    /// Publishes whether this replica is current, the members, all control VMs and the leader.
    fn publish_standing(&mut self, now: Micros) {
        let led_until = decide::current_until(&self.state, now);
        self.outputs.led_until.store(led_until.0, Ordering::Relaxed);
        let is_led = now < led_until;
        let is_current = is_led || now < self.state.followed_until;
        let was = (
            *self.outputs.is_led.borrow(),
            *self.outputs.is_current.borrow(),
        );
        if was != (is_led, is_current) {
            // A catalogue that is no longer current was last so by the source that it had before.
            let by_log = if is_current { is_led } else { was.0 };
            self.report_currency(by_log, is_current);
        }
        publish_changed(&self.outputs.is_led, is_led);
        publish_changed(&self.outputs.is_current, is_current);
        if is_led {
            // What another member named before is older than what the log names from now on.
            self.followed = None;
        }
        let is_followed = now < self.state.followed_until;
        let followed = self.followed.as_ref();
        let leader = match followed.filter(|_| is_followed) {
            Some(followed) => followed.leader,
            None => self.state.leader_row().map(|row| row.peers),
        };
        publish_changed(&self.outputs.leader, leader);
        let members_from = self.state.members.last().map_or(0, |(from, _)| *from);
        let basis = (is_led, members_from);
        if basis == self.listed.0 && now < self.listed.1.plus_millis(LIST_INTERVAL_MS) {
            return;
        }
        self.listed = (basis, now);
        let control = match followed {
            Some(followed) => Arc::clone(&followed.control),
            None => Arc::new(join::control_vms(&self.state, now)),
        };
        let members = control.iter().filter(|row| row.member);
        let members: Vec<SocketAddr> = members.map(|row| row.peers).collect();
        publish_changed(&self.outputs.members, Arc::new(members));
        publish_changed(&self.outputs.control, control);
    }

    fn report_currency(&self, by_log: bool, is_current: bool) {
        let policy = self.outputs.policies.borrow();
        let (version, revision) = (policy.catalog.version, policy.catalog.revision);
        let event = if is_current {
            Event::CURRENT
        } else {
            Event::NOT_CURRENT
        };
        let source = if by_log { "the log" } else { "a copy" };
        report(
            event,
            format_args!("by {source}, version {version}, revision {revision}"),
        );
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Write(batch) => {
                self.context.metrics.count("log_writes", 1);
                self.write_storage(storage::Message::Write(batch));
            }
            Effect::Send {
                to,
                peer_call,
                envelope,
            } => {
                let reply = peer_call.and_then(|key| self.peer_calls.remove(key));
                match reply {
                    Some(reply) => reply(Some(envelope)),
                    None => self.send_to_peer(Packet { to, envelope }),
                }
            }
            Effect::DropReply(peer_call) => drop(self.peer_calls.remove(peer_call)),
            Effect::ReportTiming {
                operator_call,
                at,
                timing,
            } => self.report_timing(operator_call, at, timing),
            Effect::ReplySubmit {
                operator_call,
                result,
            } => self.reply_submit(operator_call, result),
            Effect::ReplyRead {
                operator_call,
                result,
            } => self.reply_read(operator_call, result),
            Effect::ReplyMembers {
                operator_call,
                result,
            } => self.reply_members(operator_call, result),
            Effect::Publish => self.is_unpublished = true,
            Effect::Reinitialize => self.reinitialize(),
            Effect::Note(note) => {
                let counter = events::report_note(&self.state, note);
                self.context.metrics.count(counter, 1);
            }
        }
    }

    fn write_storage(&mut self, message: storage::Message) {
        // The ring is not full, as at most one message is in progress.
        if self.outputs.storage.offer(message).is_err() {
            self.context.metrics.count("storage_ended", 1);
        }
    }

    fn send_to_peer(&self, packet: Packet) {
        if self.outputs.peers.try_send(packet).is_err() {
            self.context.metrics.count("peer_messages_dropped", 1);
        }
    }

    fn report_timing(&self, operator_call: OperatorCallKey, at: Position, timing: Timing) {
        let Some(PendingReply::Submit {
            summary: Some(summary),
            ..
        }) = self.pending.get(operator_call)
        else {
            return;
        };
        let millis = |until: Micros| until.since(timing.since).as_millis();
        report(
            Event::ORDER_COMMITTED,
            format_args!(
                "{summary}: entry {} of term {}, {} bytes, {} commands before it, on this disk after {} ms, \
                 committed after {} ms",
                at.index,
                at.term,
                timing.bytes,
                timing.ahead,
                millis(timing.synced.unwrap_or(timing.committed)),
                millis(timing.committed)
            ),
        );
    }

    fn reply_submit(&mut self, operator_call: OperatorCallKey, result: SubmitResult) {
        self.context.metrics.count("commands", 1);
        self.count_unavailable(result.as_ref().err());
        if let Some(PendingReply::Submit { reply, .. }) = self.pending.remove(operator_call) {
            reply(result);
        }
    }

    fn count_unavailable(&self, reason: Option<&Unavailable>) {
        if let Some(reason) = reason {
            self.context.metrics.count(reason.counter(), 1);
        }
    }

    fn reply_read(&mut self, operator_call: OperatorCallKey, result: Result<(), Unavailable>) {
        self.count_unavailable(result.as_ref().err());
        match self.pending.remove(operator_call) {
            Some(PendingReply::Read(reply)) => {
                reply(result.map(|()| Arc::clone(&self.state.machine)));
            }
            Some(PendingReply::Members(reply)) => reply(result.map(|()| Ok(self.member_status()))),
            Some(PendingReply::Submit { .. }) | None => {}
        }
    }

    fn reply_members(
        &mut self,
        operator_call: OperatorCallKey,
        result: Result<Result<(), String>, Unavailable>,
    ) {
        self.count_unavailable(result.as_ref().err());
        if let Some(PendingReply::Members(reply)) = self.pending.remove(operator_call) {
            reply(result.map(|done| done.map(|()| self.member_status())));
        }
    }

    fn member_status(&self) -> Vec<super::MemberStatus> {
        member::status(&self.state, self.context.clock.now())
    }

    fn publish(&self) {
        let mut policy = self.state.machine.without_receipts();
        let receipts = &self.state.machine.receipts;
        let recent = receipts.len().saturating_sub(MAX_PUBLISHED_RECEIPTS);
        policy.receipts.extend_from_slice(&receipts[recent..]);
        policy.catalog = Arc::clone(&self.state.machine.catalog);
        let version = policy.version;
        if !self.publish_newer("the log", |published| *published = policy) {
            return;
        }
        let level = usize::try_from(version).unwrap_or(usize::MAX);
        self.context.metrics.set_gauge("version", level);
        if version > 0 {
            report(Event::CONFIG_APPLIED, format_args!("version {version}"));
        }
    }

    /// Publishes a change of the configuration, unless its result is older than what was published: a
    /// renewed disk recovers from the beginning, and a member that this VM followed was ahead of it.
    fn publish_newer(&self, source: &str, change: impl FnOnce(&mut Policy)) -> bool {
        let age = |policy: &Policy| (policy.catalog.revision, policy.version);
        let configured = self.outputs.policies.borrow().catalog.version;
        let is_newer = self.outputs.policies.send_if_modified(|published| {
            let mut next = (**published).clone();
            change(&mut next);
            let ((revision, version), (old_revision, old_version)) = (age(&next), age(published));
            let is_newer = revision >= old_revision && version >= old_version;
            if is_newer {
                *published = Arc::new(next);
            }
            is_newer
        });
        let catalog = Arc::clone(&self.outputs.policies.borrow().catalog);
        if catalog.version != configured {
            let (version, revision) = (catalog.version, catalog.revision);
            report(
                Event::CONFIG_APPLIED,
                format_args!("version {version}, revision {revision}, by {source}"),
            );
        }
        is_newer
    }

    fn reinitialize(&mut self) {
        self.is_reinitializing = true;
        self.pending.clear();
        self.peer_calls.clear();
        // The storage duty handles this after the write in progress, which it may be retrying.
        let disk = DiskId(rand::random::<u64>() | 1);
        self.write_storage(storage::Message::Reinitialize(disk));
    }

    fn restart(&mut self, recovered: Recovered) {
        let now = self.context.clock.now();
        let version = self.state.machine.version;
        self.state = State::new(self.settings.clone(), self.local.clone(), recovered, now);
        self.is_reinitializing = false;
        report(
            Event::DISK_RENEWED,
            format_args!("was at version {version}"),
        );
    }
}
