//! An upstream's side of the announce protocol: fences homes and follows the answers.

use {
    crate::announce::{AnnouncementBody, LeaseBody},
    std::net::SocketAddr,
};

/// Which home may send work, and how much of it runs.
#[derive(Clone, Debug)]
pub struct Fence {
    body: AnnouncementBody,
    home: SocketAddr,
    holder: String,
    tenure: u64,
    running: u16,
}

/// Under which change of home a request entered; an old home that comes back is a new tenure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure(u64);

impl Fence {
    /// Starts with no home; `home` is the first VM to announce to.
    ///
    /// ```
    /// use siskinstep::{announce::AnnouncementBody, dev::fence::Fence};
    /// let body = AnnouncementBody { name: "u1".into(), service: "cellwatch".into(), slots: 3,
    ///     address: "127.0.0.1:1".parse().unwrap(), incarnation: 1, token: None, inherited: None,
    ///     load: None, leaving: false };
    /// let mut fence = Fence::new(body, "127.0.0.1:2".parse().unwrap());
    /// assert!(fence.enter("").is_none());
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

    /// Counts a request with that `siskinstep-holder`; `None` if it must not run.
    pub fn enter(&mut self, holder: &str) -> Option<Tenure> {
        if holder.is_empty() || holder != self.holder {
            return None;
        }
        self.running += 1;
        Some(Tenure(self.tenure))
    }

    /// Ends the count of a request.
    pub fn leave(&mut self, tenure: Tenure) {
        if tenure.0 == self.tenure {
            self.running -= 1;
        } else {
            self.body.inherited = self.body.inherited.map(|count| count.saturating_sub(1));
        }
    }

    /// The next announcement and the address that it goes to.
    #[must_use]
    pub fn announcement(&self) -> (SocketAddr, AnnouncementBody) {
        (self.home, self.body.clone())
    }

    /// Takes an answer. A new holder fences the old one: what it still runs is inherited.
    pub fn adopt(&mut self, granted: &LeaseBody) {
        if self.holder != granted.holder {
            let inherited = self.body.inherited.unwrap_or(0);
            self.body.inherited = Some(inherited.saturating_add(self.running));
            self.running = 0;
            self.tenure += 1;
            self.holder.clone_from(&granted.holder);
        }
        self.body.token = Some(granted.token.clone());
        self.home = granted.home.unwrap_or(self.home);
    }

    /// Announces to another VM from now on, such as when the home does not answer.
    pub fn turn_to(&mut self, home: SocketAddr) {
        self.home = home;
    }

    /// Marks the upstream as leaving.
    pub fn leave_home(&mut self) {
        self.body.leaving = true;
    }

    /// Requests that run, whoever sent them.
    #[must_use]
    pub fn running(&self) -> u16 {
        self.running + self.body.inherited.unwrap_or(0)
    }
}
