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

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name, unique in the fleet.
    pub name: String,
    /// Service that it offers.
    pub service: ServiceKey,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Rises on each of its restarts.
    pub incarnation: u64,
    /// Token of the last answer that it took, from whichever home.
    pub token: Option<Token>,
    /// Requests of earlier homes that it still runs; `None` if it does not know.
    pub inherited: Option<u16>,
    /// Requests that it says it is running, if it says so.
    pub load: Option<u32>,
    /// Whether it is leaving and wants no new work.
    pub leaving: bool,
}

/// The answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Whether this VM is its home now and may send it work.
    pub granted: bool,
    /// What requests from this home carry; another value is of another home or life.
    pub holder: String,
    /// To be sent back in the next announcement.
    pub token: Token,
    /// Milliseconds from the sending of a token to the end of the lease that it renews.
    pub lease_ms: u64,
    /// Milliseconds after which to announce again.
    pub renew_ms: u64,
    /// Another VM to announce to from now on.
    pub home: Option<SocketAddr>,
}

/// An entry VM that can be a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Home {
    /// Name of the VM.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Address of its upstream listener.
    pub address: SocketAddr,
}

/// What the duty is told.
pub enum Message {
    /// An upstream announces itself.
    Announce {
        /// What it says.
        announcement: Announcement,
        /// Takes the answer.
        reply: Box<dyn FnOnce(Lease) + Send>,
    },
    /// The entry VMs that are alive, with or without this one.
    Homes(Vec<Home>),
    /// The configuration in force.
    Policy(Arc<Policy>),
    /// This VM is shutting down: its upstreams are sent to another home.
    Stopping,
}

/// Why an upstream gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// It said that it is leaving.
    Leaving,
    /// It took another home, or this VM's earlier life was its home.
    Moved,
    /// Its lease lapsed.
    Expired,
    /// It restarted, or announced another address or service.
    Replaced,
    /// This VM is drained and is no home any more.
    Released,
}

/// What the duty tells the slots duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An upstream joined or renewed its lease.
    Present {
        /// Its key while it stays.
        key: UpstreamKey,
        /// What it says.
        announcement: Announcement,
        /// Header value of requests to it.
        holder: Arc<str>,
        /// When its lease expires.
        expires: Micros,
    },
    /// An upstream gets no new work. Its work in flight may still end.
    Absent {
        /// Its key.
        key: UpstreamKey,
        /// Why.
        why: Absence,
    },
}
