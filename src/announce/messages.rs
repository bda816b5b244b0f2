//! Messages of the announce duty.

use {
    crate::keys::{ServiceKey, UpstreamKey},
    std::net::SocketAddr,
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
    /// Requests that it says it is running, if it says so.
    pub load: Option<u32>,
    /// Whether it is leaving and wants no new work.
    pub leaving: bool,
}

/// The answer to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Milliseconds for which new work is sent without another announcement.
    pub lease_ms: u64,
    /// Milliseconds after which to announce again.
    pub renew_ms: u64,
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
}

/// What the duty tells the slots duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An upstream joined, or changed what it says.
    Present {
        /// Its key while it stays.
        key: UpstreamKey,
        /// What it says.
        announcement: Announcement,
    },
    /// An upstream wants no new work, or its lease lapsed. Its work in flight may still end.
    Absent {
        /// Its key.
        key: UpstreamKey,
    },
}
