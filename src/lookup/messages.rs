//! Messages of the look-up duty.

use {
    crate::{keys::ZoneKey, policy::Policy},
    std::{net::SocketAddr, sync::Arc},
};

/// An entry VM as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Address of its caller listener.
    pub callers: SocketAddr,
    /// Free slots that it last reported.
    pub free: u32,
    /// Whether it did not answer its peers lately.
    pub suspect: bool,
}

/// What the duty is told.
#[derive(Clone, Debug)]
pub enum Message {
    /// The entry VMs that are alive, this one included.
    Vms(Vec<Vm>),
    /// The configuration in force.
    Policy(Arc<Policy>),
    /// This VM is shutting down and must no longer be named.
    Stopping,
}

/// One row of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ranked {
    /// Name of the VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Address to send requests to.
    pub address: SocketAddr,
    /// Share of new requests, relative to the other rows.
    pub weight: u32,
}

/// A ranking, nearest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    /// Version of the configuration it was made from.
    pub version: u64,
    /// Milliseconds for which a caller may use it.
    pub ttl_ms: u64,
    /// Rows, nearest first.
    pub rows: Vec<Ranked>,
}
