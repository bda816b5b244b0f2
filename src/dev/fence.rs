//! Upstream side of the announce protocol: fencing of former homes, and the state of the lease.
//! Without I/O or clock.

use {
    crate::announce::{AnnouncementBody, LeaseBody},
    std::net::SocketAddr,
};

/// Admits requests of the current home only, and counts the running requests.
///
/// The home of an upstream is the entry VM that holds its lease and may send requests to it.
#[derive(Clone, Debug)]
pub struct Fence {
    body: AnnouncementBody,
    home: SocketAddr,
    holder: String,
    tenure: u64,
    running: u16,
}

/// Identifies the period under one home in which a request was admitted. A former home that becomes
/// the home again starts a new tenure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure(u64);

impl Fence {
    /// Creates a fence without a home, which admits no request. `home` is the VM that receives the
    /// first announcement.
    ///
    /// ```
    /// use siskinstep::{announce::AnnouncementBody, dev::fence::Fence};
    /// let body = AnnouncementBody { name: "u1".into(), service: "cellwatch".into(), slots: 3,
    ///     address: "127.0.0.1:1".parse().unwrap(), incarnation: 1, token: None, inherited: None,
    ///     load: None, leaving: false };
    /// let mut fence = Fence::new(body, "127.0.0.1:2".parse().unwrap());
    /// assert!(fence.admit("").is_none());
    /// ```
    #[must_use]
    pub fn new(mut body: AnnouncementBody, home: SocketAddr) -> Self {
        body.inherited = Some(0);
        Self {
            body,
            home,
            holder: String::new(),
            tenure: 0,
            running: 0,
        }
    }

    /// Admits and counts a request whose header `siskinstep-holder` is `holder`. Returns `None` if
    /// it does not come from the current home and must not run.
    pub fn admit(&mut self, holder: &str) -> Option<Tenure> {
        if holder.is_empty() || holder != self.holder {
            return None;
        }
        self.running += 1;
        Some(Tenure(self.tenure))
    }

    /// Stops counting a request that was admitted under `tenure`.
    pub fn finish(&mut self, tenure: Tenure) {
        if tenure.0 == self.tenure {
            self.running -= 1;
        } else {
            self.body.inherited = self.body.inherited.map(|count| count.saturating_sub(1));
        }
    }

    /// Returns the next announcement and the address that it is sent to.
    #[must_use]
    pub fn announcement(&self) -> (SocketAddr, AnnouncementBody) {
        (self.home, self.body.clone())
    }

    /// Applies the response to an announcement. A new holder fences off the previous one, whose
    /// running requests are counted as inherited from then on.
    pub fn apply_lease(&mut self, lease: &LeaseBody) {
        if self.holder != lease.holder {
            let inherited = self.body.inherited.unwrap_or(0);
            self.body.inherited = Some(inherited.saturating_add(self.running));
            self.running = 0;
            self.tenure += 1;
            self.holder.clone_from(&lease.holder);
        }
        self.body.token = Some(lease.token.clone());
        self.home = lease.home.unwrap_or(self.home);
    }

    /// Sends the next announcements to another VM, for example if the home does not respond.
    pub fn set_home(&mut self, home: SocketAddr) {
        self.home = home;
    }

    /// Marks the upstream as leaving; the next announcement deregisters it.
    pub fn mark_leaving(&mut self) {
        self.body.leaving = true;
    }

    /// Number of running requests, including those of former homes.
    #[must_use]
    pub fn running(&self) -> u16 {
        self.running + self.body.inherited.unwrap_or(0)
    }
}
