//! Datagrams between members, and messages between the duty and other duties.

use {
    crate::{
        clock::Micros,
        keys::{ServiceKey, ZoneKey},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Status of a member. Within an incarnation a later variant takes precedence over an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// Responds to pings.
    Alive,
    /// Did not respond to pings, or reported that its lease may have expired.
    Suspect,
    /// Is shutting down and accepts no new work.
    Leaving,
    /// Was evicted.
    Dead,
}

/// Free slots of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeSlots {
    /// Service.
    pub service: ServiceKey,
    /// Slots available to requests.
    pub slots: u32,
}

/// An entry VM as known to the other members.
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
    /// Incarnation number: increases with each restart, rejoin and refuted suspicion.
    pub incarnation: u64,
    /// Status within the incarnation.
    pub status: MemberStatus,
    /// Heartbeat counter: increases with each round of the member within an incarnation. The higher
    /// one marks the newer `free_slots` and `version`.
    pub heartbeat: u64,
    /// Free slots by service, in ascending order of keys.
    pub free_slots: Vec<FreeSlots>,
    /// Version of the configuration in force on the VM.
    pub version: u64,
}

/// Summary of an availability zone, sent to the rest of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Availability zone.
    pub zone: ZoneKey,
    /// Timestamp at which a VM of the zone created it, on the clock of this process.
    pub created: Micros,
    /// Sum of the free slots of its VMs by service, in ascending order of keys.
    pub free_slots: Vec<FreeSlots>,
    /// Highest version in force on any of its VMs.
    pub version: u64,
}

/// The usable members, including the local VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Alive or suspect members of the local zone and of zones with a recent summary, ordered by
    /// zone and name.
    pub rows: Vec<Member>,
    /// Summaries of zones in ascending order of keys; `created` gives the age.
    pub zones: Vec<ZoneSummary>,
    /// Whether the local VM has joined, has read the list of members, and has not been frozen
    /// since.
    pub joined: bool,
}

/// Messages to the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Version in force on the local VM. It may be served under: updates have been requested.
    Version(u64),
    /// The local VM is shutting down.
    Leaving,
}

/// Purpose of a datagram. Each member counts its own sequence numbers; a probe is identified by the
/// sequence number that the pinging member gave to its ping.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Requests an acknowledgement.
    Ping,
    /// Acknowledges the ping with this sequence number.
    Ack(u64),
    /// Indirect ping: requests that the receiver ping a third member and forward its response as an
    /// acknowledgement of `probe`.
    Relay {
        /// Name of the member to ping.
        target: String,
        /// Sequence number to acknowledge.
        probe: u64,
    },
    /// Requests the page of members whose names follow this one.
    Page(String),
    /// A page of members in the order of names, with the name after which the next page starts;
    /// empty on the last page.
    Listed(String),
    /// Informs the sender of an outdated incarnation of the known one.
    Outdated,
}

/// A datagram, independent of its encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Datagram {
    /// Sequence number: increases with each datagram of an incarnation.
    pub sequence: u64,
    /// Purpose.
    pub kind: Kind,
    /// Sender.
    pub from: Member,
    /// Updates of other members.
    pub members: Vec<Member>,
    /// Summaries of zones.
    pub zones: Vec<ZoneSummary>,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outgoing {
    /// Destination.
    pub to: SocketAddr,
    /// Content.
    pub datagram: Datagram,
}

/// Reason for which a datagram was dropped. Each has a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DropReason {
    /// The MAC does not match the shared secret.
    Unauthenticated,
    /// The body cannot be decoded.
    Malformed,
    /// The zone of the sender is not in the settings.
    UnknownZone,
    /// The sender has an earlier incarnation than the known one.
    Outdated,
    /// The sequence number is too far below the highest one received.
    Replayed,
    /// The sender has the name of the local VM.
    DuplicateName,
}

impl DropReason {
    /// Returns the name of the counter.
    pub(super) const fn counter_name(self) -> &'static str {
        match self {
            Self::Unauthenticated => "member_unauthenticated",
            Self::Malformed => "member_malformed",
            Self::UnknownZone => "member_unknown_zone",
            Self::Outdated => "member_outdated",
            Self::Replayed => "member_replayed",
            Self::DuplicateName => "member_own_name",
        }
    }
}

/// A dropped datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Dropped {
    /// Reason.
    pub reason: DropReason,
    /// Datagrams to send in response, if any.
    pub reply: Vec<Outgoing>,
}

impl Dropped {
    /// Creates a dropped datagram without a response.
    pub(super) const fn without_reply(reason: DropReason) -> Self {
        Self {
            reason,
            reply: Vec::new(),
        }
    }
}

/// Receiver of the latest members.
pub type MembersReceiver = tokio::sync::watch::Receiver<Arc<Members>>;
