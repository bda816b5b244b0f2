//! State that results from the accepted commands.

use {
    super::messages::{Accepted, Cap, Command, Drain, Rejection, Shift},
    crate::catalog::Catalog,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Receipts that are kept, so that a retried command gets the same result.
pub const MAX_RECEIPTS: usize = 10_000;

/// Recorded result of one command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The command as first received.
    pub command: Command,
    /// Its result.
    pub answer: Result<Accepted, Rejection>,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Number of accepted changes.
    pub version: u64,
    /// Shifts in force, sorted by name.
    pub shifts: Vec<Shift>,
    /// Drains in force, sorted.
    pub drains: Vec<Drain>,
    /// Caps in force, at most one for each service and place.
    pub caps: Vec<Cap>,
    /// Latest receipts, oldest first.
    pub receipts: Vec<Receipt>,
    /// Routes, services and upstreams. They are replicated in the same log, but encoded separately
    /// in snapshots, since VMs that follow shifts alone have no use for them.
    #[serde(skip)]
    pub catalog: Arc<Catalog>,
}

impl Policy {
    /// Whether `drain` is in force.
    ///
    /// ```
    /// use siskinstep::policy::{Drain, Policy};
    /// assert!(!Policy::default().has_drain(&Drain::Vm("entry-1".into())));
    /// ```
    #[must_use]
    pub fn has_drain(&self, drain: &Drain) -> bool {
        self.drains.binary_search(drain).is_ok()
    }

    /// Receipt of the command with that id.
    ///
    /// ```
    /// assert!(siskinstep::policy::Policy::default().receipt("c-1").is_none());
    /// ```
    #[must_use]
    pub fn receipt(&self, id: &str) -> Option<&Receipt> {
        self.receipts
            .iter()
            .rev()
            .find(|receipt| receipt.command.id == id)
    }

    /// The command that made the version in force, if its receipt is kept.
    ///
    /// ```
    /// assert!(siskinstep::policy::Policy::default().last_accepted().is_none());
    /// ```
    #[must_use]
    pub fn last_accepted(&self) -> Option<&Command> {
        let is_accepted = |receipt: &&Receipt| receipt.answer.is_ok();
        let receipt = self.receipts.iter().rev().find(is_accepted)?;
        Some(&receipt.command)
    }

    /// Copy without receipts, for entry VMs, which serve no commands.
    ///
    /// ```
    /// let policy = siskinstep::policy::Policy::default();
    /// assert_eq!(policy.without_receipts(), policy);
    /// ```
    #[must_use]
    pub fn without_receipts(&self) -> Self {
        Self {
            version: self.version,
            shifts: self.shifts.clone(),
            drains: self.drains.clone(),
            caps: self.caps.clone(),
            receipts: Vec::new(),
            catalog: Arc::default(),
        }
    }

    /// Records the result of a command, and removes the oldest receipt beyond [`MAX_RECEIPTS`].
    pub(super) fn record_receipt(&mut self, command: Command, answer: Result<Accepted, Rejection>) {
        if self.receipts.len() >= MAX_RECEIPTS {
            self.receipts.remove(0);
        }
        self.receipts.push(Receipt { command, answer });
    }
}
