//! The catalogue: its tables, and the orders already applied.

use {
    super::{
        messages::{ChangeId, Limits, Route, Service, Upstream, Workspace},
        table::{Patch, Table},
    },
    crate::poison::Process,
    serde::{Deserialize, Serialize},
};

/// Accepted configuration changes that are recognised when retried. Operators make some thousands
/// per day.
pub(super) const MAX_ACCEPTED: usize = 16_384;
/// Deregistered upstreams that are retained, so that a delayed report does not register them again.
pub(super) const MAX_DEREGISTERED: usize = 4_096;
/// Name of the only row of the limits table.
pub(super) const LIMITS_ROW: &str = "limits";

/// The replicated state of the control VMs, except shifts, drains and caps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Increases by one with each order that changes the catalogue.
    pub revision: u64,
    /// Version of the configuration, chosen by operators; 0 before the first.
    pub version: u64,
    /// Routes by name.
    pub routes: Table<Route>,
    /// Services by name.
    pub services: Table<Service>,
    /// Limits on callers: at most one row.
    pub limits: Table<Limits>,
    /// Evacuated availability zones by name.
    pub emptied: Table<()>,
    /// Registered upstreams by name.
    pub upstreams: Table<Upstream>,
    /// Lost processes of upstreams by the fingerprint of the request that was running on them.
    #[serde(default)]
    pub charges: Table<Vec<Process>>,
    /// Whether callers need an API key. Stays so if the last workspace is removed by name.
    #[serde(default)]
    pub has_workspaces: bool,
    /// Workspaces by name.
    #[serde(default)]
    pub workspaces: Table<Workspace>,
    /// Accepted configuration changes, oldest first.
    pub(super) accepted: Vec<ChangeId>,
    /// Name and incarnation of deregistered upstreams, oldest first.
    pub(super) left: Vec<(String, u64)>,
    /// Revision of the latest evacuation order of each availability zone, in ascending order of name.
    #[serde(default)]
    pub(super) evacuation_orders: Vec<(String, u64)>,
}

/// Changes since a given revision, for followers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Lowest revision that the delta can be applied to.
    pub since: u64,
    /// Revision after the delta is applied.
    pub revision: u64,
    /// Version of the configuration.
    pub version: u64,
    /// Changes of routes.
    pub routes: Patch<Route>,
    /// Changes of services.
    pub services: Patch<Service>,
    /// Changes of limits.
    pub limits: Patch<Limits>,
    /// Changes of evacuated zones.
    pub emptied: Patch<()>,
    /// Changes of upstreams.
    pub upstreams: Patch<Upstream>,
    /// Changes of charged requests.
    pub charges: Patch<Vec<Process>>,
    /// Whether callers need an API key.
    #[serde(default)]
    pub has_workspaces: bool,
    /// Changes of workspaces.
    #[serde(default)]
    pub workspaces: Patch<Workspace>,
}

impl Delta {
    /// Drops the rows' texts as the operator submitted them, which only reads need.
    pub(super) fn drop_sources(&mut self) {
        for row in &mut self.routes.rows {
            row.value.source = String::new();
        }
        for row in &mut self.services.rows {
            row.value.source = String::new();
        }
        for row in &mut self.limits.rows {
            row.value.source = String::new();
        }
        for row in &mut self.workspaces.rows {
            row.value.source = String::new();
        }
    }
}

impl Catalog {
    /// Limits on what callers may send, if configured.
    ///
    /// ```
    /// assert!(siskinstep::catalog::Catalog::default().bounds().is_none());
    /// ```
    #[must_use]
    pub fn bounds(&self) -> Option<&Limits> {
        self.limits.get(LIMITS_ROW)
    }

    /// Changes after revision `since`.
    ///
    /// ```
    /// let delta = siskinstep::catalog::Catalog::default().since(0);
    /// assert_eq!(delta.revision, 0);
    /// ```
    #[must_use]
    pub fn since(&self, since: u64) -> Delta {
        self.between(since, self.revision)
    }

    /// The first changes after revision `since`, about `max_rows` rows of them. The changes of one revision
    /// are never divided, so there may be more. The last page has the revision of this catalogue.
    ///
    /// ```
    /// use siskinstep::catalog::{self, Catalog, Order};
    /// let mut catalog = Catalog::default();
    /// for zone in ["north-a", "north-b"] {
    ///     let order = Order::Evacuate { zone: zone.into(), on: true, base: None };
    ///     catalog::apply(&mut catalog, order).unwrap();
    /// }
    /// assert_eq!(catalog.page(0, 1).revision, 1);
    /// assert_eq!(catalog.page(1, 1).revision, 2);
    /// ```
    #[must_use]
    pub fn page(&self, since: u64, max_rows: usize) -> Delta {
        let mut revisions: Vec<u64> = self
            .routes
            .revisions(since)
            .chain(self.services.revisions(since))
            .chain(self.limits.revisions(since))
            .chain(self.emptied.revisions(since))
            .chain(self.upstreams.revisions(since))
            .chain(self.charges.revisions(since))
            .chain(self.workspaces.revisions(since))
            .collect();
        if revisions.len() <= max_rows {
            return self.since(since);
        }
        revisions.sort_unstable();
        let until = revisions[max_rows.max(1) - 1];
        // A page that replaces a table must reach the revision from which removals are retained, as the
        // next page would replace the table again.
        let floors = [
            self.routes.floor(),
            self.services.floor(),
            self.limits.floor(),
            self.emptied.floor(),
            self.upstreams.floor(),
            self.charges.floor(),
            self.workspaces.floor(),
        ];
        let until = floors.into_iter().fold(until, u64::max);
        self.between(since, until)
    }

    fn between(&self, since: u64, until: u64) -> Delta {
        Delta {
            since,
            revision: until,
            version: self.version,
            routes: self.routes.between(since, until),
            services: self.services.between(since, until),
            limits: self.limits.between(since, until),
            emptied: self.emptied.between(since, until),
            upstreams: self.upstreams.between(since, until),
            charges: self.charges.between(since, until),
            has_workspaces: self.has_workspaces,
            workspaces: self.workspaces.between(since, until),
        }
    }

    /// Applies a delta. Returns false, without a change, if the delta starts after this revision
    /// or ends at or before it.
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
        let (since, until) = (self.revision, delta.revision);
        self.revision = until;
        self.version = delta.version;
        self.routes.merge(delta.routes, since, until);
        self.services.merge(delta.services, since, until);
        self.limits.merge(delta.limits, since, until);
        self.emptied.merge(delta.emptied, since, until);
        self.upstreams.merge(delta.upstreams, since, until);
        self.charges.merge(delta.charges, since, until);
        self.has_workspaces = delta.has_workspaces;
        self.workspaces.merge(delta.workspaces, since, until);
        true
    }
}
