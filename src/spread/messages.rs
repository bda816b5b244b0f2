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

/// Request of an entry VM for configuration updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FetchRequest {
    /// Name of the requesting VM.
    pub vm: String,
    /// Version in force on the requesting VM.
    pub version: u64,
    /// Milliseconds for which the response may be held back until there is a newer version (long
    /// poll).
    pub hold_ms: u64,
    /// Whether the full configuration is requested.
    #[serde(default)]
    pub full: bool,
    /// Versions in force on the requesting VM and on the other VMs of its zone.
    #[serde(default)]
    pub reports: Vec<VersionReport>,
}

/// Version in force on an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionReport {
    /// Name of the VM.
    pub vm: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Version in force on the VM.
    pub version: u64,
}

/// Response to a [`FetchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchResponse {
    /// Version of the configuration that the response leads to.
    pub version: u64,
    /// Hash of that configuration.
    pub digest: u64,
    /// Accepted commands from the requested version to this one, oldest first.
    pub commands: Vec<Command>,
    /// Full configuration, if it was requested or the commands are not available.
    pub policy: Option<Policy>,
}

/// Rings of the duties that act on the configuration.
#[derive(Clone, Debug)]
pub struct Subscribers {
    /// Omits drained VMs from look-ups.
    pub lookup: Sender<lookup::Message>,
    /// Moves traffic by the shifts.
    pub shift: Sender<shift::Message>,
    /// Does not offer drained VMs to upstreams as their entry VM.
    pub announce: Sender<announce::Message>,
    /// Assigns no new work to drained upstreams.
    pub slots: Sender<slots::Message>,
    /// Reports the version to the other members.
    pub membership: Sender<membership::Message>,
}

impl Subscribers {
    /// Sends the configuration to every subscriber except membership, waiting while a ring is full.
    pub fn notify(&self, policy: &Arc<Policy>) {
        // A subscriber that has exited needs no configuration.
        let _ = self.slots.send(slots::Message::Policy(Arc::clone(policy)));
        let _ = self
            .announce
            .send(announce::Message::Policy(Arc::clone(policy)));
        let _ = self
            .lookup
            .send(lookup::Message::Policy(Arc::clone(policy)));
        let _ = self.shift.send(shift::Message::Policy(Arc::clone(policy)));
    }

    /// Notifies the membership duty that `version` is in force and may be served under.
    pub fn allow_serving(&self, version: u64) {
        // A duty that has exited reports nothing.
        let _ = self.membership.send(membership::Message::Version(version));
    }
}
