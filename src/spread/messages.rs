//! Messages of the spread duty.

use {
    crate::{announce, lookup, policy::Policy, ring::Sender, shift, slots},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An entry VM's question for what is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fetch {
    /// Name of the VM that asks.
    pub vm: String,
    /// Version that it has in force.
    pub version: u64,
    /// Milliseconds for which the answer may be held back until there is news.
    pub hold_ms: u64,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetched {
    /// The configuration, if it is newer than the asked version.
    pub policy: Option<Policy>,
}

/// The duties that act on the configuration.
#[derive(Clone, Debug)]
pub struct Subscribers {
    /// Look-ups leave out drained VMs.
    pub lookup: Sender<lookup::Message>,
    /// Shifts move traffic.
    pub shift: Sender<shift::Message>,
    /// A drained VM is no home.
    pub announce: Sender<announce::Message>,
    /// Drained upstreams get no new work.
    pub slots: Sender<slots::Message>,
}

impl Subscribers {
    /// Hands the configuration to every subscriber, waiting for room.
    pub fn notify(&self, policy: &Arc<Policy>) {
        // A subscriber that has ended needs no configuration.
        let _ = self.slots.send(slots::Message::Policy(Arc::clone(policy)));
        let _ = self
            .announce
            .send(announce::Message::Policy(Arc::clone(policy)));
        let _ = self
            .lookup
            .send(lookup::Message::Policy(Arc::clone(policy)));
        let _ = self.shift.send(shift::Message::Policy(Arc::clone(policy)));
    }
}
