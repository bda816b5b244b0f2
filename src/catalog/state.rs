//! The catalogue: every table, and what is remembered of orders.

use {
    super::{
        messages::{ChangeId, Limits, Route, Service, Upstream},
        table::{Patch, Table},
    },
    serde::{Deserialize, Serialize},
};

/// Changes of configuration that are known again when sent again. A day brings some thousands.
pub(super) const MOST_ACCEPTED: usize = 16_384;
/// Upstreams whose leave is remembered, so that a late report brings none of them back.
pub(super) const MOST_LEFT: usize = 4_096;
/// Name of the one row of limits.
pub(super) const LIMITS: &str = "limits";

/// Everything that control VMs agree on besides shifts, drains and caps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Rises by one with each order that changes something.
    pub revision: u64,
    /// Version of the configuration, which operators pick; 0 before the first.
    pub version: u64,
    /// Routes by name.
    pub routes: Table<Route>,
    /// Services by name.
    pub services: Table<Service>,
    /// Bounds on callers: one row at most.
    pub limits: Table<Limits>,
    /// Availability zones that are emptied, by name.
    pub emptied: Table<()>,
    /// Upstreams by name.
    pub upstreams: Table<Upstream>,
    /// Accepted changes, oldest first.
    pub(super) accepted: Vec<ChangeId>,
    /// Upstreams that left, with their incarnation, oldest first.
    pub(super) left: Vec<(String, u64)>,
}

/// What changed since some revision, for those that follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that it leads from, or any later one.
    pub since: u64,
    /// Revision that it leads to.
    pub revision: u64,
    /// Version of the configuration.
    pub version: u64,
    /// Changes of routes.
    pub routes: Patch<Route>,
    /// Changes of services.
    pub services: Patch<Service>,
    /// Changes of limits.
    pub limits: Patch<Limits>,
    /// Changes of emptied zones.
    pub emptied: Patch<()>,
    /// Changes of upstreams.
    pub upstreams: Patch<Upstream>,
}

impl Catalog {
    /// Bounds on what callers may send, if an operator gave them.
    ///
    /// ```
    /// assert!(siskinstep::catalog::Catalog::default().bounds().is_none());
    /// ```
    #[must_use]
    pub fn bounds(&self) -> Option<&Limits> {
        self.limits.get(LIMITS)
    }

    /// What changed after revision `since`.
    ///
    /// ```
    /// let delta = siskinstep::catalog::Catalog::default().since(0);
    /// assert_eq!(delta.revision, 0);
    /// ```
    #[must_use]
    pub fn since(&self, since: u64) -> Delta {
        Delta {
            since,
            revision: self.revision,
            version: self.version,
            routes: self.routes.since(since),
            services: self.services.since(since),
            limits: self.limits.since(since),
            emptied: self.emptied.since(since),
            upstreams: self.upstreams.since(since),
        }
    }

    /// Takes in what changed; false if it does not fit, or says nothing new.
    ///
    /// ```
    /// use siskinstep::catalog::Catalog;
    /// let mut follower = Catalog::default();
    /// assert!(!follower.merge(Catalog::default().since(0)));
    /// ```
    pub fn merge(&mut self, delta: Delta) -> bool {
        if delta.since > self.revision || delta.revision <= self.revision {
            return false;
        }
        self.revision = delta.revision;
        self.version = delta.version;
        self.routes.merge(delta.routes);
        self.services.merge(delta.services);
        self.limits.merge(delta.limits);
        self.emptied.merge(delta.emptied);
        self.upstreams.merge(delta.upstreams);
        true
    }
}
