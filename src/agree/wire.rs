//! Messages between replicas, and the contents of the log.

use {
    crate::{
        catalog::Catalog,
        keys::DiskId,
        policy::Policy,
        storage::{Entry, Position},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// One control VM of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub name: String,
    /// Its listener for peers.
    pub peers: SocketAddr,
    /// Its listener for operators.
    pub operators: SocketAddr,
    /// Disk that counts as this member; zero until the VM has reported one in a hello.
    pub disk: DiskId,
    /// Whether it counts towards the quorum; otherwise it is a learner.
    pub voter: bool,
}

/// Members of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Rows in ascending order of name.
    pub rows: Vec<Member>,
}

impl Members {
    /// The member of that name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Member> {
        self.rows.iter().find(|row| row.name == name)
    }

    /// The member with that disk.
    #[must_use]
    pub fn with_disk(&self, disk: DiskId) -> Option<&Member> {
        self.rows.iter().find(|row| row.disk == disk)
    }

    /// Whether that disk counts towards the quorum.
    #[must_use]
    pub fn is_voter(&self, disk: DiskId) -> bool {
        self.with_disk(disk).is_some_and(|row| row.voter)
    }

    /// Disks that count towards the quorum.
    pub fn voters(&self) -> impl Iterator<Item = DiskId> {
        let voters = self.rows.iter().filter(|row| row.voter);
        voters.map(|row| row.disk)
    }

    /// Number of voters that make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// No operation; the first entry of a new leader.
    Nothing,
    /// An operator's command as JSON, which newer versions can still read.
    Command(Bytes),
    /// The members from this entry on.
    Members(Members),
    /// A change of the catalogue as JSON.
    Order(Bytes),
    /// The same, compressed. Earlier versions do not know it and would skip it, so it travels in envelopes that
    /// they cannot read (`transport`).
    PackedOrder(Bytes),
}

impl Content {
    /// Whether `bytes` is a compressed order in postcard encoding, which begins with the number of the variant.
    pub(super) fn is_packed(bytes: &[u8]) -> bool {
        bytes.first() == Some(&4)
    }
}

/// Content of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Image {
    /// Members at the position of the snapshot.
    pub members: Members,
    /// Configuration with receipts, as JSON.
    pub policy: Bytes,
    /// The catalogue, as JSON.
    pub catalog: Bytes,
}

/// Snapshot format of versions without a catalogue.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct OldImage {
    members: Members,
    policy: Bytes,
}

impl Image {
    /// Encodes the state at one position of the log.
    pub(super) fn encode(members: &Members, policy: &Policy) -> Bytes {
        let image = Self {
            members: members.clone(),
            policy: serde_json::to_vec(policy).unwrap_or_default().into(),
            catalog: serde_json::to_vec(&*policy.catalog)
                .unwrap_or_default()
                .into(),
        };
        postcard::to_stdvec(&image).unwrap_or_default().into()
    }

    /// Decodes the output of [`Image::encode`], also that of versions without a catalogue.
    pub(super) fn decode(body: &[u8]) -> Option<(Members, Policy)> {
        let image = postcard::from_bytes(body).or_else(|_| {
            postcard::from_bytes(body).map(|old: OldImage| Self {
                members: old.members,
                policy: old.policy,
                catalog: Bytes::from_static(b"null"),
            })
        });
        let image: Self = image.ok()?;
        let mut policy: Policy = serde_json::from_slice(&image.policy).ok()?;
        let catalog: Option<Catalog> = serde_json::from_slice(&image.catalog).ok()?;
        policy.catalog = Arc::new(catalog.unwrap_or_default());
        Some((image.members, policy))
    }
}

/// The highest boot number, term and log end that a disk has acknowledged, as recorded by a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// Highest boot number.
    pub boot: u64,
    /// Highest term.
    pub term: u64,
    /// Highest end of the durable log.
    pub last: Position,
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Cluster of the sender; zero while it has none.
    pub cluster: u64,
    /// Disk of the sender.
    pub from: DiskId,
    /// Boot number of the sender.
    pub boot: u64,
    /// Term of the sender.
    pub term: u64,
    /// Listener for peers of the sender.
    pub origin: SocketAddr,
    /// Disk of the receiver; zero for any disk at the address.
    pub to: DiskId,
    /// Body of the message.
    pub body: Body,
}

/// Body of a message. Times are microseconds on the leader's clock, which the follower echoes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Announces a replica that is not an admitted voter, or has no leader.
    Hello {
        /// Name of its VM.
        name: String,
        /// Its listener for operators.
        operators: SocketAddr,
    },
    /// Reply to a hello.
    Welcome {
        /// Name of the replying VM.
        name: String,
        /// Whether the log of the replying VM is empty.
        fresh: bool,
        /// Latest promise of the receiver's disk that this replica knows of.
        known: Promise,
        /// Peer addresses of the members, as the settings of the receiver may be outdated.
        peers: Vec<SocketAddr>,
    },
    /// Request for a vote, or with `trial` for a pre-vote.
    Ask {
        /// Whether it is a pre-vote, which binds no vote.
        trial: bool,
        /// Term in which the candidate would lead.
        term: u64,
        /// Last position of the candidate's log.
        last: Position,
    },
    /// Reply to a request for a vote.
    Vote {
        /// Whether it replies to a pre-vote.
        trial: bool,
        /// Term of the request.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries of the leader's log after `prev`; without entries, a heartbeat.
    Append {
        /// Position before the first entry.
        prev: Position,
        /// Entries that follow.
        entries: Vec<Entry>,
        /// Highest committed index.
        commit: u64,
        /// Time of sending.
        sent: u64,
    },
    /// Reply to an append or a complete snapshot.
    Appended {
        /// Whether the log agrees up to `matched`; otherwise it may agree there.
        agrees: bool,
        /// Index up to which the logs agree; if `agrees` is false, an index at which they may agree.
        matched: u64,
        /// Last position of the sender's log, durable once this message is sent.
        last: Position,
        /// Time of sending of the append.
        sent: u64,
    },
    /// A chunk of the leader's snapshot.
    Install {
        /// Position of the snapshot.
        at: Position,
        /// Bytes before this chunk.
        offset: u64,
        /// Total size of the snapshot in bytes.
        total: u64,
        /// Bytes of this chunk.
        part: Bytes,
        /// Time of sending.
        sent: u64,
    },
    /// Reply to a chunk, which requests the next one.
    Installed {
        /// Position of the snapshot.
        at: Position,
        /// Bytes received.
        received: u64,
        /// Time of sending of the chunk.
        sent: u64,
    },
    /// Where the sender is, so that voters can be spread over regions and zones.
    Located {
        /// Name of its VM.
        name: String,
        /// Name of its region.
        region: String,
        /// Name of its availability zone.
        zone: String,
    },
    /// The leader steps down, as its VM is about to stop.
    Resign {
        /// Disk of the voter that is to lead next.
        successor: DiskId,
    },
}
