//! Decisions of a replica: a function of state, input, time and randomness, without I/O or clock.

use {
    super::{
        apply, elect, install, join,
        member::{self, Tolerance},
        messages::{MemberChange, SubmitResult, Unavailable},
        placement, replicate, size,
        state::{HeldMessage, PendingSubmit, Role, State, Timing},
        wire::{Body, Content, Envelope, Promise},
    },
    crate::{
        catalog::Order,
        clock::Micros,
        keys::{DiskId, OperatorCallKey, PeerCallKey},
        policy::{Command, Rejection},
        storage::{Ack, Batch, Entry, Position},
    },
    serde::Serialize,
    std::net::SocketAddr,
};

/// Commands that may wait for a quorum at the same time.
const MAX_PENDING_COMMANDS: usize = 1_024;
/// Of these, commands that no operator gave: after an outage, upstreams report all at once.
const MAX_PENDING_REPORTS: usize = 768;
/// Messages that may wait for the disk at the same time.
const MAX_HELD_MESSAGES: usize = 1_024;
/// Peers that are recorded beside those that a welcome names.
const MAX_REPORTED_PEERS: usize = 32;
/// Largest command, as JSON; several have to fit into one message.
const MAX_COMMAND_BYTES: usize = 16 << 10;
/// Input of a replica.
#[derive(Clone, Debug)]
pub(super) enum Input {
    /// Time has passed.
    Tick,
    /// An operator's command.
    Submit {
        operator_call: OperatorCallKey,
        command: Command,
    },
    /// A change of the catalogue.
    Order {
        operator_call: OperatorCallKey,
        order: Box<Order>,
    },
    /// A linearizable read, confirmed by a quorum.
    Read { operator_call: OperatorCallKey },
    /// A change of the cluster's members.
    Change {
        operator_call: OperatorCallKey,
        change: MemberChange,
    },
    /// This replica is about to stop.
    Resign,
    /// A peer's message, and the call that waits for the reply.
    Peer {
        envelope: Envelope,
        peer_call: Option<PeerCallKey>,
    },
    /// The result of the write in progress.
    Storage(Ack),
}

/// An action to execute. The actions of a step are executed in order.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Make the batch durable and acknowledge it; at most one write is in progress.
    Write(Batch),
    /// Send a message, as the reply to `peer_call` if there is one.
    Send {
        to: SocketAddr,
        peer_call: Option<PeerCallKey>,
        envelope: Envelope,
    },
    /// End a peer's call without a reply.
    DropReply(PeerCallKey),
    /// Report where the time of a command went.
    ReportTiming {
        operator_call: OperatorCallKey,
        at: Position,
        timing: Timing,
    },
    /// Reply to a command.
    ReplySubmit {
        operator_call: OperatorCallKey,
        result: SubmitResult,
    },
    /// Reply to a read: the state machine has applied everything that was committed before it.
    ReplyRead {
        operator_call: OperatorCallKey,
        result: Result<(), Unavailable>,
    },
    /// Reply to a change of members.
    ReplyMembers {
        operator_call: OperatorCallKey,
        result: Result<Result<(), String>, Unavailable>,
    },
    /// Publish the newer configuration that is in force.
    Publish,
    /// The disk lacks state that this replica has acknowledged: restart with an empty one under a new
    /// identity.
    Reinitialize,
    /// Report an event that is relevant to operators.
    Note(Note),
}

/// An event that is relevant to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Note {
    /// This replica became the leader.
    Elected,
    /// This replica is no longer the leader.
    Deposed,
    /// This leader hands over to another voter, as its VM is about to stop.
    Resigned,
    /// This replica bootstrapped the cluster.
    Founded,
    /// The members changed.
    MembersChanged,
    /// The leader removes the member with this disk, which has been silent.
    MemberSilent(DiskId),
    /// The voters begin or cease to tolerate as many losses as the settings state.
    Tolerance(Tolerance),
    /// A message arrived from another cluster.
    OtherCluster,
    /// A leader's entry differs from a committed one.
    Contradiction,
    /// The disk lacks state that this replica has acknowledged.
    OldDisk,
    /// The disk refuses writes.
    DiskFailed,
    /// The disk accepts writes again.
    DiskBack,
}

/// Context of one step: the state, the inputs besides the message, and the effects so far.
pub(super) struct Step<'a> {
    pub(super) state: &'a mut State,
    pub(super) now: Micros,
    pub(super) random: u64,
    pub(super) peer_call: Option<PeerCallKey>,
    pub(super) effects: Vec<Effect>,
}

/// Handles one input and returns the effects to execute.
pub(super) fn step(state: &mut State, input: Input, now: Micros, random: u64) -> Vec<Effect> {
    let mut step = Step {
        state,
        now,
        random,
        peer_call: None,
        effects: Vec::new(),
    };
    // First, so that a leader that was frozen steps down before it accepts anything.
    elect::tick(&mut step);
    join::tick(&mut step);
    member::tick(&mut step);
    match input {
        Input::Tick => {}
        Input::Submit {
            operator_call,
            command,
        } => submit(&mut step, operator_call, &command),
        Input::Order {
            operator_call,
            order,
        } => submit_order(&mut step, operator_call, &order),
        Input::Read { operator_call } => replicate::start_read(&mut step, operator_call),
        Input::Change {
            operator_call,
            change,
        } => member::change(&mut step, operator_call, change),
        Input::Resign => elect::begin_resignation(&mut step),
        Input::Peer {
            envelope,
            peer_call,
        } => {
            step.peer_call = peer_call;
            receive(&mut step, &envelope);
        }
        Input::Storage(ack) => handle_ack(&mut step, ack),
    }
    replicate::send_all(&mut step, false);
    replicate::advance_commit(&mut step);
    apply::apply(&mut step);
    replicate::confirm_reads(&mut step);
    step.flush();
    if let Some(peer_call) = step.peer_call {
        step.effects.push(Effect::DropReply(peer_call));
    }
    step.effects
}

/// Time of the next timer: heartbeat or election, or the next hello.
pub(super) fn next_wake(state: &State) -> Micros {
    let deadline = match &state.role {
        Role::Leader(leader_state) => leader_state.next_heartbeat,
        _ if state.is_voter() => state.election_deadline,
        _ => Micros(u64::MAX),
    };
    deadline.min(state.next_hello)
}

/// Whether the local configuration is current: this replica leads, or within the last two election
/// time-outs contained everything that the leader reported as committed. Until an entry of its own term is
/// committed, a leader does not know all that its predecessors committed, and neither do its followers.
pub(super) fn is_current(state: &State, now: Micros) -> bool {
    now < current_until(state, now)
}

/// Time until which the local configuration is current if nothing more is heard of the leader; zero if it is not.
pub(super) fn current_until(state: &State, now: Micros) -> Micros {
    if state.log.term_at(state.commit) != Some(state.hard.term) {
        return Micros(0);
    }
    let since = if state.is_leader() {
        now
    } else {
        state.caught_up_at
    };
    if since == Micros(0) {
        return Micros(0);
    }
    since.plus_millis(2 * state.settings.election_ms)
}

fn submit(step: &mut Step<'_>, operator_call: OperatorCallKey, command: &Command) {
    submit_content(
        step,
        operator_call,
        command,
        MAX_PENDING_COMMANDS,
        |json| match json.len() {
            bytes if bytes > MAX_COMMAND_BYTES => Err(size::too_large(bytes, MAX_COMMAND_BYTES)),
            _ => Ok(Content::Command(json.into())),
        },
    );
}

fn submit_order(step: &mut Step<'_>, operator_call: OperatorCallKey, order: &Order) {
    let max_pending = if order.summary().is_some() {
        MAX_PENDING_COMMANDS
    } else {
        MAX_PENDING_REPORTS
    };
    submit_content(step, operator_call, order, max_pending, order_content);
}

/// Content of the entry of a change of the catalogue.
fn order_content(json: Vec<u8>) -> Result<Content, Rejection> {
    let packed = size::pack_large(&json)?;
    Ok(match packed {
        Some(packed) => Content::PackedOrder(packed.into()),
        None => Content::Order(json.into()),
    })
}

/// Appends `content` to the log if this replica leads, `wrap` accepts its JSON, and fewer than `max_pending`
/// commands are pending.
fn submit_content(
    step: &mut Step<'_>,
    operator_call: OperatorCallKey,
    content: impl Serialize,
    max_pending: usize,
    wrap: impl FnOnce(Vec<u8>) -> Result<Content, Rejection>,
) {
    if let Some(reason) = step.refusal() {
        let result = Err(reason);
        step.effects.push(Effect::ReplySubmit {
            operator_call,
            result,
        });
        return;
    }
    let pending = step.state.leader_state().map_or(0, |row| row.submits.len());
    let Ok(json) = serde_json::to_vec(&content) else {
        return step.effects.push(Effect::ReplySubmit {
            operator_call,
            result: Err(Unavailable::Busy),
        });
    };
    let content = match wrap(json) {
        Ok(content) => content,
        Err(rejection) => {
            let result = Ok(Err(rejection));
            return step.effects.push(Effect::ReplySubmit {
                operator_call,
                result,
            });
        }
    };
    if pending >= max_pending {
        let result = Err(Unavailable::Busy);
        return step.effects.push(Effect::ReplySubmit {
            operator_call,
            result,
        });
    }
    let at = step.push(&content);
    let entry = step.state.log.get(at.index);
    let timing = Timing {
        bytes: entry.map_or(0, |entry| entry.content.len()),
        ahead: pending,
        since: step.now,
        ..Timing::default()
    };
    if let Some(leader_state) = step.state.leader_state() {
        leader_state.submits.push_back(PendingSubmit {
            at,
            operator_call,
            timing,
        });
    }
}

fn handle_ack(step: &mut Step<'_>, ack: Ack) {
    match ack {
        Ack::Synced => {
            if let Some(number) = step.state.writing.take() {
                step.state.written = number;
                step.state.durable_index = step.state.writing_index;
                record_sync(step);
            }
            if step.state.disk_error.take().is_some() {
                step.note(Note::DiskBack);
            }
            elect::count_local_vote(step);
        }
        Ack::Failed { detail } => {
            if step.state.disk_error.replace(detail).is_none() {
                step.note(Note::DiskFailed);
            }
            let term = step.state.hard.term;
            elect::become_follower(step, term, DiskId(0));
        }
    }
}

/// Records which pending commands are on the local disk.
fn record_sync(step: &mut Step<'_>) {
    let (now, durable) = (step.now, step.state.durable_index);
    let Some(leader_state) = step.state.leader_state() else {
        return;
    };
    for submit in &mut leader_state.submits {
        if submit.at.index > durable {
            return;
        }
        submit.timing.synced.get_or_insert(now);
    }
}

fn receive(step: &mut Step<'_>, envelope: &Envelope) {
    let hard = step.state.hard;
    if envelope.from == hard.disk {
        return;
    }
    step.state.knows_cluster |= envelope.cluster != 0;
    if envelope.to != hard.disk && envelope.to != DiskId(0) {
        return record_sender(step.state, envelope.origin);
    }
    if envelope.cluster != 0 && hard.cluster != 0 && envelope.cluster != hard.cluster {
        step.note(Note::OtherCluster);
        return;
    }
    if step.state.members().with_disk(envelope.from).is_some() {
        step.state.heard_at.insert(envelope.from, step.now);
    }
    let known = update_promise(step, envelope);
    if raises_term(&envelope.body) && envelope.term > step.state.hard.term {
        elect::become_follower(step, envelope.term, DiskId(0));
    }
    match &envelope.body {
        Body::Hello { .. } => join::handle_hello(step, envelope, known),
        Body::Welcome { .. } => join::handle_welcome(step, envelope),
        Body::Ask { .. } => elect::handle_ask(step, envelope),
        Body::Vote { .. } => elect::handle_vote(step, envelope),
        Body::Append { .. } => replicate::handle_append(step, envelope),
        Body::Appended { .. } => replicate::handle_appended(step, envelope),
        Body::Install { .. } => install::handle_install(step, envelope),
        Body::Installed { .. } => install::handle_installed(step, envelope),
        Body::Located { .. } => placement::handle_located(step, envelope),
        Body::Resign { successor } => elect::handle_resign(step, envelope, *successor),
    }
}

/// Records the sender of a message for another disk at this address. With an empty log, that is one which this VM has
/// lost, and the sender has to hear of the new one even if the settings name no control VM that still runs.
fn record_sender(state: &mut State, sender: SocketAddr) {
    let peers = &mut state.reported_peers;
    let is_new = state.log.last().index == 0 && !peers.contains(&sender);
    if is_new && peers.len() < MAX_REPORTED_PEERS {
        peers.push(sender);
    }
}

/// Whether a higher term of the sender is adopted immediately. A candidate's term is adopted only if
/// its request for a vote is considered.
fn raises_term(body: &Body) -> bool {
    !matches!(
        body,
        Body::Hello { .. } | Body::Welcome { .. } | Body::Ask { .. } | Body::Located { .. }
    )
}

/// Records the promise of the sender's disk (its boot number, term and last entry), and returns the
/// previous record.
fn update_promise(step: &mut Step<'_>, envelope: &Envelope) -> Promise {
    let known = step.state.promises.get(&envelope.from).copied();
    let known = known.unwrap_or_default();
    let last = match envelope.body {
        Body::Appended { last, .. } => last,
        _ => Position::default(),
    };
    let updated = Promise {
        boot: known.boot.max(envelope.boot),
        term: known.term.max(envelope.term),
        last: known.last.max(last),
    };
    step.state.promises.insert(envelope.from, updated);
    known
}

impl Step<'_> {
    pub(super) fn note(&mut self, note: Note) {
        self.effects.push(Effect::Note(note));
    }

    /// Timestamp `ms` milliseconds from now.
    pub(super) fn after(&self, ms: u64) -> Micros {
        self.now.plus_millis(ms)
    }

    /// Reason why this replica cannot serve operators, or `None` if it leads.
    pub(super) fn refusal(&self) -> Option<Unavailable> {
        if self.state.is_leader() {
            let resigns = self.state.resign_by.is_some();
            let successor = elect::successor(self.state, self.now);
            return (resigns && successor.is_some()).then_some(Unavailable::NoQuorum);
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

    /// Appends an entry of this leader's term to the log.
    pub(super) fn push(&mut self, content: &Content) -> Position {
        let at = Position {
            term: self.state.hard.term,
            index: self.state.log.last().index + 1,
        };
        let content = postcard::to_stdvec(content).unwrap_or_default().into();
        self.state.push(Entry { at, content });
        at
    }

    /// Queues the hard state for the next write.
    pub(super) fn save(&mut self) {
        self.state.queue.hard = Some(self.state.hard);
    }

    /// Replies to the sender of `envelope` once everything up to here is durable.
    pub(super) fn reply(&mut self, envelope: &Envelope, body: Body) {
        let peer_call = self.peer_call.take();
        self.hold(envelope.origin, envelope.from, peer_call, body);
    }

    /// Sends a message once everything up to here is durable.
    pub(super) fn send(&mut self, to: SocketAddr, disk: DiskId, body: Body) {
        self.hold(to, disk, None, body);
    }

    /// Sends a message that acknowledges no state of this disk, without waiting for a write.
    pub(super) fn send_now(&mut self, to: SocketAddr, disk: DiskId, body: Body) {
        let envelope = self.envelope(disk, body);
        self.effects.push(Effect::Send {
            to,
            peer_call: None,
            envelope,
        });
    }

    fn hold(&mut self, to: SocketAddr, disk: DiskId, peer_call: Option<PeerCallKey>, body: Body) {
        if self.state.held.len() >= MAX_HELD_MESSAGES {
            // The disk has been failing for a long time; the peer sends its message again.
            self.effects.extend(peer_call.map(Effect::DropReply));
            return;
        }
        let envelope = self.envelope(disk, body);
        self.state.held.push_back(HeldMessage {
            write: self.state.pending_write(),
            to,
            peer_call,
            envelope,
        });
    }

    fn envelope(&self, to: DiskId, body: Body) -> Envelope {
        let hard = self.state.hard;
        Envelope {
            cluster: hard.cluster,
            from: hard.disk,
            boot: hard.boot,
            term: hard.term,
            origin: self.state.local.peers,
            to,
            body,
        }
    }

    /// Starts the next write, and sends the held messages whose write is durable.
    fn flush(&mut self) {
        let state = &mut *self.state;
        if state.writing.is_none() && !state.queue.is_empty() {
            state.writing = Some(state.written + 1);
            state.writing_index = state.log.last().index;
            state.queue.commit = state.commit;
            self.effects
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
            self.effects.push(Effect::Send {
                to: row.to,
                peer_call: row.peer_call,
                envelope: row.envelope,
            });
        }
    }
}
