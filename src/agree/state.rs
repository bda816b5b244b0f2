//! What a replica knows.

use {
    super::{
        log::Log,
        settings::{MemberConfig, Settings},
        wire::{Content, Envelope, Image, Member, Members, Promise},
    },
    crate::{
        clock::Micros,
        keys::{DiskKey, ExchangeKey, TicketKey},
        policy::Policy,
        sorted::Sorted,
        storage::{Batch, Entry, Hard, Position, Recovered, Snapshot},
    },
    bytes::BytesMut,
    std::{collections::VecDeque, net::SocketAddr, sync::Arc},
};

/// What the leader knows of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Start that the rest holds for.
    pub(super) boot: u64,
    /// Index of the next entry to send.
    pub(super) next: u64,
    /// Highest index known to be durable there.
    pub(super) matched: u64,
    /// When the entries in flight were sent, if any are.
    pub(super) flight: Option<Micros>,
    /// Latest time of sending that was echoed.
    pub(super) echoed: Micros,
    /// When it was last heard.
    pub(super) heard: Micros,
    /// Snapshot being sent, and bytes of it received there.
    pub(super) install: (Position, u64),
}

/// A command that waits for its entry to be committed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) at: Position,
    pub(super) ticket: TicketKey,
}

/// A read that waits for a quorum to confirm the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    pub(super) ticket: TicketKey,
    pub(super) since: Micros,
    pub(super) index: u64,
}

/// What only a leader has.
#[derive(Clone, Debug, Default)]
pub(super) struct Leading {
    pub(super) progress: Sorted<DiskKey, Progress>,
    pub(super) submits: VecDeque<Waiting>,
    pub(super) reads: Vec<Reading>,
    /// Index of the first entry of this term.
    pub(super) start: u64,
    pub(super) beat: Micros,
    /// Place of the change of members under way, with who waits for it.
    pub(super) change: Option<(u64, Option<TicketKey>)>,
}

/// The part that a replica plays.
#[derive(Clone, Debug)]
pub(super) enum Role {
    Follower,
    /// Asks whether it would be elected.
    Trial(Vec<DiskKey>),
    Candidate(Vec<DiskKey>),
    Leader(Box<Leading>),
}

/// A message that waits until what it promises is durable.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) write: u64,
    pub(super) to: SocketAddr,
    pub(super) exchange: Option<ExchangeKey>,
    pub(super) envelope: Envelope,
}

/// Everything that a replica knows.
#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) me: MemberConfig,
    pub(super) hard: Hard,
    pub(super) log: Log,
    pub(super) snapshot: Option<Snapshot>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) machine: Arc<Policy>,
    /// Members from each index on; the last row is in force.
    pub(super) members: Vec<(u64, Members)>,
    pub(super) role: Role,
    pub(super) leader: DiskKey,
    pub(super) started: Micros,
    /// When a leader was last heard, or this process started.
    pub(super) heard: Micros,
    /// When all that a leader said is committed was last here.
    pub(super) caught_up: Micros,
    pub(super) deadline: Micros,
    /// Whether enough peers agree that this disk has lost nothing.
    pub(super) admitted: bool,
    pub(super) welcomes: Sorted<String, Welcomed>,
    pub(super) hello: Micros,
    /// Peer addresses that the latest answer to a hello named.
    pub(super) told: Vec<SocketAddr>,
    pub(super) promises: Sorted<DiskKey, Promise>,
    /// What names have shown lately.
    pub(super) shown: Sorted<String, Shown>,
    /// To be written after the write under way.
    pub(super) queue: Batch,
    /// Numbers of the write under way, if any, and of the last durable one.
    pub(super) writing: Option<u64>,
    pub(super) written: u64,
    /// Last index of the write under way, and the last durable one.
    pub(super) writing_last: u64,
    pub(super) durable: u64,
    pub(super) held: VecDeque<Held>,
    pub(super) disk_error: Option<String>,
    pub(super) incoming: Option<(Position, BytesMut)>,
}

/// A replica that showed itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shown {
    pub(super) disk: DiskKey,
    pub(super) at: Micros,
    pub(super) peers: SocketAddr,
    pub(super) operators: SocketAddr,
}

/// An answer to a hello.
#[derive(Clone, Copy, Debug)]
pub(super) struct Welcomed {
    pub(super) disk: DiskKey,
    pub(super) fresh: bool,
    pub(super) term: u64,
}

impl State {
    pub(super) fn new(settings: Settings, me: MemberConfig, found: Recovered, now: Micros) -> Self {
        let base = found.snapshot.as_ref().map(|row| row.at);
        let image = found.snapshot.as_ref();
        let image = image.and_then(|row| Image::decode(&row.body));
        let base = base.unwrap_or_default();
        let (first, machine) = image.unwrap_or_default();
        let mut members = vec![(base.index, first)];
        for entry in &found.entries {
            if let Some(Content::Members(rows)) = content(entry) {
                members.push((entry.at.index, rows));
            }
        }
        let log = Log::new(base, found.entries);
        let last = log.last().index;
        // A fresh disk has promised nothing, so there is nothing that it could have lost.
        let fresh = last == 0 && found.hard.boot <= 1;
        let deadline = now.plus_millis(settings.election_ms);
        Self {
            settings,
            me,
            hard: found.hard,
            log,
            snapshot: found.snapshot,
            commit: found.commit.clamp(base.index, last),
            applied: base.index,
            machine: Arc::new(machine),
            members,
            role: Role::Follower,
            leader: DiskKey(0),
            started: now,
            heard: now,
            caught_up: Micros(0),
            deadline,
            admitted: fresh,
            welcomes: Sorted::default(),
            hello: now,
            told: Vec::new(),
            promises: Sorted::default(),
            shown: Sorted::default(),
            queue: Batch::default(),
            writing: None,
            written: 0,
            writing_last: last,
            durable: last,
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
    pub(super) fn votes(&self) -> bool {
        self.members().votes(self.hard.disk)
    }

    pub(super) fn leading(&mut self) -> Option<&mut Leading> {
        match &mut self.role {
            Role::Leader(leading) => Some(leading),
            _ => None,
        }
    }

    pub(super) fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The member that leads, as far as known.
    pub(super) fn leader_row(&self) -> Option<&Member> {
        if self.leader == DiskKey(0) {
            return None;
        }
        self.members().with_disk(self.leader)
    }

    /// Number of the write that would make everything so far durable.
    pub(super) fn pending_write(&self) -> u64 {
        match self.writing {
            Some(number) if self.queue.is_empty() => number,
            Some(number) => number + 1,
            None if self.queue.is_empty() => self.written,
            None => self.written + 1,
        }
    }

    /// Removes the entries from `index` on.
    pub(super) fn cut_from(&mut self, index: u64) {
        self.log.cut_from(index);
        self.writing_last = self.writing_last.min(index - 1);
        self.durable = self.durable.min(index - 1);
        self.members.retain(|(from, _)| *from < index);
    }

    /// Adds an entry to the log, to be written.
    pub(super) fn push(&mut self, entry: Entry) {
        if let Some(Content::Members(members)) = content(&entry) {
            self.members.push((entry.at.index, members));
        }
        self.queue.entries.push(entry.clone());
        self.log.push(entry);
    }
}

/// What an entry means.
pub(super) fn content(entry: &Entry) -> Option<Content> {
    postcard::from_bytes(&entry.content).ok()
}
