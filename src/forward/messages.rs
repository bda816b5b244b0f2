//! Messages of the forward duty.

use {
    crate::{
        call::{Call, Payload},
        keys::ZoneKey,
        membership::messages::FreeSlots,
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An entry VM that takes forwarded requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Free slots that it last reported, by service.
    pub free: Vec<FreeSlots>,
}

/// What the duty is told.
#[derive(Debug)]
pub enum Message {
    /// A request whose target is another zone.
    Send(Call),
    /// The other entry VMs that are alive.
    Peers(Vec<Peer>),
}

/// A request between two entry VMs. Names, not keys: settings may differ while they are rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// Name of the service.
    pub service: String,
    /// Name of the request kind.
    pub kind: String,
    /// Name of the zone where the request entered the system.
    pub origin: String,
    /// Milliseconds left to the deadline.
    pub left_ms: u64,
    /// Peers that have forwarded it, the sender included.
    pub hops: u8,
    /// Idempotency key, empty if none.
    pub key: Bytes,
    /// What goes to the upstream.
    pub payload: Payload,
}
