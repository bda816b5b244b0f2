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

/// An entry VM that accepts forwarded requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: ZoneKey,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Free slots that it last reported, by service.
    pub free: Vec<FreeSlots>,
}

/// Messages that the duty receives.
#[derive(Debug)]
pub enum Message {
    /// A request for another zone, or one that found no slot on this VM.
    Send(Call),
    /// The other entry VMs that are alive.
    Peers(Vec<Peer>),
}

/// Wire format of a request between two entry VMs. It carries names instead of keys, because the
/// settings of the two VMs may differ during a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// Name of the service.
    pub service: String,
    /// Name of the request kind.
    pub kind: String,
    /// Name of the zone where the request entered the system.
    pub origin: String,
    /// Milliseconds left until the deadline.
    pub left_ms: u64,
    /// Number of VMs that have forwarded the request, including the sender.
    pub hops: u8,
    /// Idempotency key, empty if none.
    pub key: Bytes,
    /// Payload for the upstream.
    pub payload: Payload,
}
