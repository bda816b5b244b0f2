//! Messages of the announce duty.

use {
    super::token::Token,
    crate::{
        clock::Micros,
        keys::{ServiceKey, UpstreamKey, ZoneKey},
        policy::Policy,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Service that it provides.
    pub service: ServiceKey,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Number of requests that it runs at the same time.
    pub slots: u16,
    /// Number that increases with each restart.
    pub incarnation: u64,
    /// Token of the last response that it accepted, from any home.
    pub token: Option<Token>,
    /// Number of requests of earlier homes that it still runs; `None` if unknown.
    pub inherited: Option<u16>,
    /// Number of requests that it reports as running, if it reports a load.
    pub load: Option<u32>,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
}

/// Response to an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Whether this VM is now the home of the upstream and may send it requests.
    pub granted: bool,
    /// Header value of requests from this home. Another value is of another home or incarnation.
    pub holder: String,
    /// Token to be echoed in the next announcement.
    pub token: Token,
    /// Milliseconds from the sending of a token to the expiry of the lease that it renews.
    pub lease_ms: u64,
    /// Milliseconds after which the next announcement is due.
    pub renew_ms: u64,
    /// Address of another VM to announce to from now on.
    pub home: Option<SocketAddr>,
}

/// An entry VM that can be a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Home {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: ZoneKey,
    /// Address of its upstream listener.
    pub address: SocketAddr,
}

/// Messages that the duty receives.
pub enum Message {
    /// An upstream announces itself.
    Announce {
        /// The announcement.
        announcement: Announcement,
        /// Receives the response.
        reply: Box<dyn FnOnce(Lease) + Send>,
    },
    /// The entry VMs that are alive; this VM may be among them.
    Homes(Vec<Home>),
    /// The configuration in force.
    Policy(Arc<Policy>),
    /// This VM is shutting down: its upstreams are directed to another home.
    Stopping,
}

/// Why an upstream gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// It announced that it is leaving.
    Leaving,
    /// It moved to another home, or its home was an earlier incarnation of this VM.
    Moved,
    /// Its lease expired.
    Expired,
    /// It restarted, or announced a different address or service.
    Replaced,
    /// This VM is drained and no longer a home.
    Released,
}

/// Notification to the slots duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An upstream joined or renewed its lease.
    Present {
        /// Key of the upstream until it is absent.
        key: UpstreamKey,
        /// The announcement.
        announcement: Announcement,
        /// Header value of requests to it.
        holder: Arc<str>,
        /// Time at which its lease expires.
        expires: Micros,
    },
    /// An upstream gets no new requests. Its requests in flight may still complete.
    Absent {
        /// Key of the upstream.
        key: UpstreamKey,
        /// Reason.
        why: Absence,
    },
}
