//! Messages and results of the look-up duty.

use {
    crate::{keys::ZoneKey, policy::Policy},
    std::{net::SocketAddr, sync::Arc},
};

/// An entry VM as known from the membership.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Address of its caller listener.
    pub callers: SocketAddr,
    /// Free slots in its last report.
    pub free: u32,
    /// Whether its peers suspect that it has failed, as it did not respond to recent probes.
    pub suspect: bool,
}

/// Messages to the duty.
#[derive(Clone, Debug)]
pub enum Message {
    /// The live entry VMs, including this one.
    Vms(Vec<Vm>),
    /// The policy in force.
    Policy(Arc<Policy>),
    /// This VM is shutting down and must no longer be listed.
    Stopping,
}

/// One row of a ranking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankedVm {
    /// Name of the VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Address to send requests to.
    pub address: SocketAddr,
    /// Share of new requests, relative to the other rows.
    pub weight: u32,
}

/// The entry VMs that callers of this VM should use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    /// Version of the policy that it is based on.
    pub version: u64,
    /// Milliseconds for which a caller may cache it.
    pub ttl_ms: u64,
    /// Rows, nearest first.
    pub rows: Vec<RankedVm>,
}
