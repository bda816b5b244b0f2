//! What members tell each other, and what the duty tells others.

use {
    crate::{
        clock::Micros,
        keys::{ServiceKey, ZoneKey},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Whether a member serves. Within an incarnation a later one replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It answers.
    Alive,
    /// It did not answer, or says of itself that its lease may be gone.
    Suspect,
    /// It is shutting down and takes no new work.
    Leaving,
    /// It was evicted.
    Dead,
}

/// Free slots of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Free {
    /// Service.
    pub service: ServiceKey,
    /// Slots that a request may take.
    pub slots: u32,
}

/// An entry VM as members know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Address of its membership socket.
    pub members: SocketAddr,
    /// Address of its caller listener.
    pub callers: SocketAddr,
    /// Address of its upstream listener.
    pub upstreams: SocketAddr,
    /// Address of its peer listener.
    pub peers: SocketAddr,
    /// Rises with each restart and each refuted suspicion.
    pub incarnation: u64,
    /// Whether it serves.
    pub standing: Standing,
    /// Rises with each news of `free` and `version` within an incarnation.
    pub beat: u64,
    /// Free slots by service, by rising key.
    pub free: Vec<Free>,
    /// Version of the configuration in force there.
    pub version: u64,
}

/// A zone as the rest of the fleet knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Availability zone.
    pub zone: ZoneKey,
    /// When a VM of the zone made it, on the clock of this process.
    pub made: Micros,
    /// Free slots of all its VMs by service, by rising key.
    pub free: Vec<Free>,
    /// Highest version in force on one of its VMs.
    pub version: u64,
}

/// The members that may be used, by zone and name, this VM included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Alive or suspect members of zones that were heard of lately.
    pub rows: Vec<Member>,
    /// Summaries of zones by rising key; `made` tells the age.
    pub zones: Vec<Summary>,
    /// Whether this VM has joined and knows the others, and has not stood still since.
    pub joined: bool,
}

/// What the duty is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Version in force on this VM; from the first one on, it has one to serve under.
    Version(u64),
    /// This VM is shutting down.
    Leaving,
}

/// What one datagram is for. Sequence numbers are the sender's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Asks for an acknowledgement.
    Ping,
    /// Acknowledges the ping of that number.
    Ack(u64),
    /// Asks the receiver to ping a third member, and to acknowledge that number for it.
    Relay {
        /// Name of the third member.
        target: String,
        /// Number that the answer acknowledges.
        probe: u64,
    },
    /// Asks for the members whose names follow.
    Page(String),
    /// Members in the order of names; an empty name is the end.
    Listed(String),
    /// The sender of an outdated incarnation learns the known one.
    Outdated,
}

/// One datagram, apart from its encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Datagram {
    /// Rises with each datagram of an incarnation.
    pub sequence: u64,
    /// Purpose.
    pub kind: Kind,
    /// The sender.
    pub from: Member,
    /// News of other members.
    pub members: Vec<Member>,
    /// News of zones.
    pub zones: Vec<Summary>,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub datagram: Datagram,
}

/// Why a datagram was dropped. Each is a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Its code does not match the secret.
    Unauthenticated,
    /// It cannot be read.
    Malformed,
    /// Its zone is not in the settings.
    UnknownZone,
    /// It is of an earlier incarnation of its sender.
    Outdated,
    /// It was sent long before others that have arrived.
    Replayed,
    /// It bears the name of this VM.
    OwnName,
}

impl Fault {
    /// Name of the counter.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Unauthenticated => "member_unauthenticated",
            Self::Malformed => "member_malformed",
            Self::UnknownZone => "member_unknown_zone",
            Self::Outdated => "member_outdated",
            Self::Replayed => "member_replayed",
            Self::OwnName => "member_own_name",
        }
    }
}

/// A datagram that was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Dropped {
    /// Why.
    pub fault: Fault,
    /// What its sender is told, if anything.
    pub reply: Vec<Outgoing>,
}

impl Dropped {
    /// A datagram whose sender is told nothing.
    pub(super) const fn plain(fault: Fault) -> Self {
        Self {
            fault,
            reply: Vec::new(),
        }
    }
}

/// What a reader of the latest members holds.
pub type Seen = tokio::sync::watch::Receiver<Arc<Members>>;
