//! State of a replica.

use {
    super::{
        log::Log,
        placement::Place,
        settings::{MemberConfig, Settings},
        wire::{Content, Envelope, Image, Member, Members, Promise},
    },
    crate::{
        clock::Micros,
        keys::{DiskId, OperatorCallKey, PeerCallKey},
        policy::Policy,
        sorted::Sorted,
        storage::{Batch, Entry, HardState, Position, Recovered, Snapshot},
    },
    bytes::BytesMut,
    std::{collections::VecDeque, net::SocketAddr, sync::Arc},
};

/// Heartbeat intervals after a start within which a leader that still works is heard.
const RESTART_HEARTBEATS: u64 = 2;

/// The leader's record of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Boot number of the process that the record applies to.
    pub(super) boot: u64,
    /// Index of the next entry to send.
    pub(super) next: u64,
    /// Highest index known to be durable at the member.
    pub(super) matched: u64,
    /// Time of sending of the entries in flight, if any are.
    pub(super) in_flight: Option<Micros>,
    /// Latest time of sending that the member has echoed.
    pub(super) echoed: Micros,
    /// Time of the latest reply, or at which this record was created.
    pub(super) last_contact: Micros,
    /// Time since which nothing was received: that of the latest reply in this term or, without one, of the last
    /// message before the election.
    pub(super) silent_since: Micros,
    /// Position of the snapshot being sent, and the bytes of it that were received.
    pub(super) install: (Position, u64),
}

impl Progress {
    /// Whether the member replied to this leader in this term.
    pub(super) fn has_replied(&self) -> bool {
        self.echoed > Micros(0)
    }
}

/// A command that waits for its entry to be committed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingSubmit {
    pub(super) at: Position,
    pub(super) operator_call: OperatorCallKey,
    pub(super) timing: Timing,
}

/// Where the time of a command went, from its submission to the leader until it was committed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timing {
    /// Size of its entry in bytes.
    pub(super) bytes: usize,
    /// Commands that were pending before it.
    pub(super) ahead: usize,
    /// Time of its submission.
    pub(super) since: Micros,
    /// Time at which it was on the leader's disk, if it was before the quorum had it.
    pub(super) synced: Option<Micros>,
    /// Time at which it was committed.
    pub(super) committed: Micros,
}

/// A read that waits for a quorum to confirm the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) operator_call: OperatorCallKey,
    /// Time of the request.
    pub(super) since: Micros,
    /// Index that must be applied before the reply.
    pub(super) index: u64,
}

/// State that only a leader has.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaderState {
    pub(super) progress: Sorted<DiskId, Progress>,
    pub(super) submits: VecDeque<PendingSubmit>,
    pub(super) reads: Vec<PendingRead>,
    /// Index of the first entry of this term.
    pub(super) first_index: u64,
    pub(super) next_heartbeat: Micros,
    /// Highest committed index at the last heartbeat.
    pub(super) settled_commit: u64,
    /// Index of the change of members in progress, with the operator call that waits for it.
    pub(super) change: Option<(u64, Option<OperatorCallKey>)>,
    /// Whether the voters tolerate fewer losses than the settings state, as last reported in this term.
    pub(super) tolerance_low: Option<bool>,
}

/// Role of a replica in its term.
#[derive(Clone, Debug)]
pub(super) enum Role {
    Follower,
    /// In a pre-vote, with the disks that would grant their vote.
    PreCandidate(Vec<DiskId>),
    Candidate(Vec<DiskId>),
    Leader(Box<LeaderState>),
}

/// A message that waits until the state that it promises is durable.
#[derive(Clone, Debug)]
pub(super) struct HeldMessage {
    /// Number of the write that makes that state durable.
    pub(super) write: u64,
    pub(super) to: SocketAddr,
    pub(super) peer_call: Option<PeerCallKey>,
    pub(super) envelope: Envelope,
}

/// State of a replica.
#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) local: MemberConfig,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) snapshot: Option<Snapshot>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) machine: Arc<Policy>,
    /// Members from each index on; the last row is in force.
    pub(super) members: Vec<(u64, Members)>,
    pub(super) role: Role,
    pub(super) leader: DiskId,
    pub(super) started: Micros,
    /// Time at which each disk was last heard since the start.
    pub(super) heard_at: Sorted<DiskId, Micros>,
    /// Time until which a leader may rely on this replica: an election time-out after its latest message.
    /// After a start, the time within which a leader that still works sends its next one.
    pub(super) lease_until: Micros,
    /// Time at which the log last contained everything that the leader reported as committed; zero if
    /// never.
    pub(super) caught_up_at: Micros,
    pub(super) election_deadline: Micros,
    /// Time by which this replica, which is about to stop, hands over leadership; it stands for no election.
    pub(super) resign_by: Option<Micros>,
    /// Latest term whose leader is known to have resigned.
    pub(super) resigned_term: u64,
    /// Whether enough peers have confirmed that this disk has lost no state.
    pub(super) admitted: bool,
    /// Whether a message of a replica that belongs to a cluster has arrived.
    pub(super) knows_cluster: bool,
    pub(super) welcomes: Sorted<String, ReceivedWelcome>,
    pub(super) next_hello: Micros,
    /// Time of the next message with the place of this VM.
    pub(super) next_located: Micros,
    /// Peer addresses that the latest welcome named.
    pub(super) reported_peers: Vec<SocketAddr>,
    pub(super) promises: Sorted<DiskId, Promise>,
    /// Latest hello of each VM, by name.
    pub(super) hellos: Sorted<String, ReceivedHello>,
    /// Region and zone of control VMs, by name.
    pub(super) places: Sorted<String, Place>,
    /// Time until which this replica has the catalogue of a member that it follows, without being one.
    pub(super) followed_until: Micros,
    /// Batch of the next write, collected while another one is in progress.
    pub(super) queue: Batch,
    /// Numbers of the write in progress, if any, and of the last durable one.
    pub(super) writing: Option<u64>,
    pub(super) written: u64,
    /// Last index of the write in progress, and the last durable index.
    pub(super) writing_index: u64,
    pub(super) durable_index: u64,
    pub(super) held: VecDeque<HeldMessage>,
    pub(super) disk_error: Option<String>,
    /// Position of the snapshot being received, and its bytes so far.
    pub(super) incoming: Option<(Position, BytesMut)>,
}

/// A replica's latest hello.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedHello {
    pub(super) disk: DiskId,
    pub(super) at: Micros,
    pub(super) peers: SocketAddr,
    pub(super) operators: SocketAddr,
}

/// A reply to a hello.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedWelcome {
    pub(super) disk: DiskId,
    pub(super) fresh: bool,
    pub(super) term: u64,
}

impl State {
    pub(super) fn new(
        settings: Settings,
        local: MemberConfig,
        recovered: Recovered,
        now: Micros,
    ) -> Self {
        let base = recovered.snapshot.as_ref().map(|row| row.at);
        let image = recovered.snapshot.as_ref();
        let image = image.and_then(|row| Image::decode(&row.body));
        let base = base.unwrap_or_default();
        let (snapshot_members, machine) = image.unwrap_or_default();
        let mut members = vec![(base.index, snapshot_members)];
        for entry in &recovered.entries {
            if let Some(Content::Members(rows)) = decode_content(entry) {
                members.push((entry.at.index, rows));
            }
        }
        let log = Log::new(base, recovered.entries);
        let last = log.last().index;
        // A new disk has acknowledged nothing, so it cannot have lost state.
        let is_new_disk = last == 0 && recovered.hard.boot <= 1;
        let lease_until = now.plus_millis(RESTART_HEARTBEATS * settings.heartbeat_ms);
        // Replicas that start together stand at different times.
        let offset_ms = recovered.hard.disk.0 % settings.election_ms.max(1);
        let election_deadline = lease_until.plus_millis(offset_ms);
        let mut places = Sorted::default();
        if !settings.zone.is_empty() {
            let place = Place {
                region: settings.region.as_str().into(),
                zone: settings.zone.as_str().into(),
            };
            places.insert(local.name.clone(), place);
        }
        Self {
            settings,
            local,
            hard: recovered.hard,
            log,
            snapshot: recovered.snapshot,
            commit: recovered.commit.clamp(base.index, last),
            applied: base.index,
            machine: Arc::new(machine),
            members,
            role: Role::Follower,
            leader: DiskId(0),
            started: now,
            heard_at: Sorted::default(),
            lease_until,
            caught_up_at: Micros(0),
            election_deadline,
            resign_by: None,
            resigned_term: 0,
            admitted: is_new_disk,
            knows_cluster: false,
            welcomes: Sorted::default(),
            next_hello: now,
            next_located: now,
            reported_peers: Vec::new(),
            promises: Sorted::default(),
            hellos: Sorted::default(),
            places,
            followed_until: Micros(0),
            queue: Batch::default(),
            writing: None,
            written: 0,
            writing_index: last,
            durable_index: last,
            held: VecDeque::new(),
            disk_error: None,
            incoming: None,
        }
    }

    /// Members in force.
    pub(super) fn members(&self) -> &Members {
        const NONE: &Members = &Members { rows: Vec::new() };
        self.members.last().map_or(NONE, |(_, members)| members)
    }

    /// Whether this replica counts towards the quorum.
    pub(super) fn is_voter(&self) -> bool {
        self.members().is_voter(self.hard.disk)
    }

    pub(super) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    pub(super) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The member that leads, as far as known.
    pub(super) fn leader_row(&self) -> Option<&Member> {
        if self.leader == DiskId(0) {
            return None;
        }
        self.members().with_disk(self.leader)
    }

    /// Number of the write that makes everything up to now durable.
    pub(super) fn pending_write(&self) -> u64 {
        match self.writing {
            Some(number) if self.queue.is_empty() => number,
            Some(number) => number + 1,
            None if self.queue.is_empty() => self.written,
            None => self.written + 1,
        }
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate_from(&mut self, index: u64) {
        self.log.truncate_from(index);
        self.writing_index = self.writing_index.min(index - 1);
        self.durable_index = self.durable_index.min(index - 1);
        self.members.retain(|(from, _)| *from < index);
    }

    /// Appends an entry to the log and queues it for the next write.
    pub(super) fn push(&mut self, entry: Entry) {
        if let Some(Content::Members(members)) = decode_content(&entry) {
            self.members.push((entry.at.index, members));
        }
        self.queue.entries.push(entry.clone());
        self.log.push(entry);
    }
}

/// Decoded content of an entry.
pub(super) fn decode_content(entry: &Entry) -> Option<Content> {
    postcard::from_bytes(&entry.content).ok()
}
