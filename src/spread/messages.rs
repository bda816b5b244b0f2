//! Messages of the spread duty.

use {
    crate::{
        announce, lookup, membership,
        policy::{Command, Policy},
        ring::Sender,
        shift, slots,
    },
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
    /// Whether the whole configuration is asked for.
    #[serde(default)]
    pub full: bool,
    /// Versions in force on the VM and on those that it asks for.
    #[serde(default)]
    pub reports: Vec<Report>,
}

/// The version in force on an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Name of the VM.
    pub vm: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Version in force there.
    pub version: u64,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetched {
    /// Version of the configuration that the answer leads to.
    pub version: u64,
    /// Hash of that configuration.
    pub digest: u64,
    /// Accepted commands from the asked version to this one, oldest first.
    pub commands: Vec<Command>,
    /// The whole configuration, when commands do not lead there.
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
    /// Members tell each other their versions.
    pub membership: Sender<membership::Message>,
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

    /// Says that the configuration in force may be served under.
    pub fn serve(&self, version: u64) {
        // A duty that has ended tells nobody.
        let _ = self.membership.send(membership::Message::Version(version));
    }
}
