//! The state that accepted commands build up.

use {
    super::messages::{Accepted, Cap, Command, Drain, Rejection, Shift},
    crate::catalog::Catalog,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Receipts kept, so that a command sent again gets the same answer.
pub const RECEIPTS: usize = 10_000;

/// The remembered answer to one command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Command as it was first given.
    pub command: Command,
    /// Answer it got.
    pub answer: Result<Accepted, Rejection>,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Rises by one with each accepted change.
    pub version: u64,
    /// Shifts in force, by name.
    pub shifts: Vec<Shift>,
    /// Drains in force, sorted.
    pub drains: Vec<Drain>,
    /// Caps in force, by service and place.
    pub caps: Vec<Cap>,
    /// Latest receipts, oldest first.
    pub receipts: Vec<Receipt>,
    /// Routes, services and upstreams; agreed on in the same log and kept apart in snapshots,
    /// since VMs that follow shifts alone have no use for it.
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

    /// The receipt of the command with that id.
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

    /// The command that made the version in force.
    ///
    /// ```
    /// assert!(siskinstep::policy::Policy::default().winner().is_none());
    /// ```
    #[must_use]
    pub fn winner(&self) -> Option<&Command> {
        let accepted = |receipt: &&Receipt| receipt.answer.is_ok();
        let receipt = self.receipts.iter().rev().find(accepted)?;
        Some(&receipt.command)
    }

    /// A copy for entry VMs, which answer no commands.
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

    /// Remembers the answer to a command and forgets the oldest one beyond [`RECEIPTS`].
    pub(super) fn remember(&mut self, command: Command, answer: Result<Accepted, Rejection>) {
        if self.receipts.len() >= RECEIPTS {
            self.receipts.remove(0);
        }
        self.receipts.push(Receipt { command, answer });
    }
}
