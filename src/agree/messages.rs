//! Messages of the agree duty.

use {
    super::wire::Envelope,
    crate::{
        catalog::{Catalog, Order},
        policy::{Accepted, Command, Policy, Rejection},
        storage,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Reason why this replica cannot accept a command or serve a read now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unavailable {
    /// Another replica leads; its operator address if known. The command was not accepted.
    NotLeader {
        /// `IP:port` of the leader's operator listener.
        leader: Option<String>,
    },
    /// No quorum is reachable. The command was not accepted.
    NoQuorum,
    /// The disk is full or failing. The command was not accepted.
    Disk {
        /// Error text of the operating system.
        detail: String,
    },
    /// The replica is overloaded or shutting down. The command was not accepted.
    Busy,
    /// Leadership was lost while the command was in flight, so it may or may not take effect: send
    /// it again with the same id.
    Unknown,
}

impl Unavailable {
    /// Name of the metrics counter of this reason.
    ///
    /// ```
    /// use siskinstep::agree::Unavailable;
    /// assert_eq!(Unavailable::NoQuorum.counter(), "unavailable_no_quorum");
    /// ```
    #[must_use]
    pub const fn counter(&self) -> &'static str {
        match self {
            Self::NotLeader { .. } => "unavailable_not_leader",
            Self::NoQuorum => "unavailable_no_quorum",
            Self::Disk { .. } => "unavailable_disk",
            Self::Busy => "unavailable_busy",
            Self::Unknown => "unavailable_unknown",
        }
    }
}

/// Result of a submitted command.
pub type SubmitResult = Result<Result<Accepted, Rejection>, Unavailable>;

/// A change of the cluster's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a control VM; it counts towards the quorum once it has caught up.
    Add {
        /// Name of the VM.
        name: String,
        /// Its listener for peers.
        peers: SocketAddr,
        /// Its listener for operators.
        operators: SocketAddr,
    },
    /// Removes a control VM.
    Remove {
        /// Name of the VM.
        name: String,
    },
}

/// Status of one control VM as seen by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the VM.
    pub name: String,
    /// Its listener for peers.
    pub peers: SocketAddr,
    /// Its listener for operators.
    pub operators: SocketAddr,
    /// Whether it counts towards the quorum; otherwise it is a learner.
    pub voter: bool,
    /// Whether it is the leader.
    pub leads: bool,
    /// Whether the leader has received a message from it within the election time-out.
    pub alive: bool,
    /// Log entries that it still lacks.
    pub behind: u64,
}

/// Result of a change of members: the members, or the reason for the refusal.
pub type MembersResult = Result<Result<Vec<MemberStatus>, String>, Unavailable>;

/// A control VM, member or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlVm {
    /// Its listener for peers.
    pub peers: SocketAddr,
    /// Its availability zone, by name; empty if unknown.
    pub zone: String,
    /// Whether it is a member, and so has the log itself.
    pub member: bool,
}

/// What a control VM without a place in the log learned from a member that it follows.
#[derive(Clone, Debug)]
pub struct Followed {
    /// The catalogue, if it is newer than before.
    pub catalog: Option<Arc<Catalog>>,
    /// All control VMs.
    pub control: Arc<Vec<ControlVm>>,
    /// Peer listener of the leader, as far as known.
    pub leader: Option<SocketAddr>,
    /// Milliseconds for which this is current.
    pub valid_ms: u64,
}

/// Callback that receives the reply to a peer's message, if there is one.
pub type PeerReply = Box<dyn FnOnce(Option<Envelope>) + Send>;

/// Message to the agree duty.
pub enum Message {
    /// An operator's command.
    Submit {
        /// The command.
        command: Command,
        /// Callback for the result.
        reply: Box<dyn FnOnce(SubmitResult) + Send>,
    },
    /// A change of the catalogue.
    Order {
        /// The change.
        order: Box<Order>,
        /// Callback for the result, whose version is the catalogue's revision.
        reply: Box<dyn FnOnce(SubmitResult) + Send>,
    },
    /// A linearizable read, confirmed by a quorum.
    Read {
        /// Callback for the configuration in force.
        reply: Box<dyn FnOnce(Result<Arc<Policy>, Unavailable>) + Send>,
    },
    /// A change of members, or with `None` a linearizable read of them.
    Members {
        /// The change.
        change: Option<MemberChange>,
        /// Callback for the result.
        reply: Box<dyn FnOnce(MembersResult) + Send>,
    },
    /// Another replica's message.
    Peer {
        /// The message.
        envelope: Envelope,
        /// Callback for the reply, if the peer waits for one.
        reply: Option<PeerReply>,
    },
    /// News from a member that this control VM follows.
    Followed(Followed),
    /// A report of the storage duty.
    Storage(storage::Report),
    /// This control VM is about to stop: if it leads, another one is to take over.
    Resign {
        /// Callback once another one leads, this one does not lead, or an election time-out has passed.
        reply: Box<dyn FnOnce() + Send>,
    },
    /// Stops the duty; pending callers receive an [`Unavailable`].
    Stop,
}
