//! Commands of operators and their results.

use {
    crate::settings::topology::Topology,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display},
};

/// A part of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Place {
    /// A region, by name.
    Region(String),
    /// One availability zone, by name.
    AvailabilityZone(String),
}

impl Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Region(name) => write!(f, "region {name}"),
            Self::AvailabilityZone(name) => write!(f, "availability zone {name}"),
        }
    }
}

/// An amount of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Amount {
    /// Permille of the traffic of the place that it leaves, 0 to 1000.
    Permille(u16),
    /// Requests per second, over all entry VMs together.
    PerSecond(u32),
}

impl Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Permille(share) => write!(f, "{share} permille"),
            Self::PerSecond(rate) => write!(f, "{rate} requests per second"),
        }
    }
}

/// Moves a service's traffic from one place to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Name, unique among the shifts in force.
    pub name: String,
    /// Service whose traffic moves.
    pub service: String,
    /// Place that the traffic leaves.
    pub from: Place,
    /// Place that the traffic goes to.
    pub to: Place,
    /// Requested amount.
    pub amount: Amount,
    /// Limit that the shift never exceeds, not even by a single request.
    pub cap: Amount,
}

/// Excludes a part of the fleet from new work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Drain {
    /// One upstream, by the name that it announces.
    Upstream(String),
    /// One entry VM, by name.
    Vm(String),
    /// One availability zone, by name.
    AvailabilityZone(String),
}

impl Display for Drain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Upstream(name) => write!(f, "upstream {name}"),
            Self::Vm(name) => write!(f, "vm {name}"),
            Self::AvailabilityZone(name) => write!(f, "availability zone {name}"),
        }
    }
}

/// Maximum that all shifts of a service together may move into a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// Service that is capped.
    pub service: String,
    /// Place that receives the moved traffic.
    pub to: Place,
    /// Limit on the sum of the shifts' caps.
    pub amount: Amount,
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Creates a shift, or replaces the one of that name.
    PutShift(Shift),
    /// Ends the shift of that name.
    EndShift(String),
    /// Starts a drain.
    PutDrain(Drain),
    /// Ends a drain.
    EndDrain(Drain),
    /// Sets a cap, or replaces the one of that service and place.
    PutCap(Cap),
    /// Ends the cap of that service and place.
    EndCap {
        /// Service that is capped.
        service: String,
        /// Place that receives the moved traffic.
        to: Place,
    },
}

/// An operator's command: one change, on an expected version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Identity of the command, 1 to 64 letters, digits, `-` or `_`; a retry carries the same one.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Version that the operator has seen; if another one is in force, the command is refused.
    pub expected: u64,
    /// The change.
    pub change: Change,
}

/// Result of a command that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that the command made.
    pub version: u64,
}

/// Result of a command that changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// Another command made a newer version before this one.
    Conflict {
        /// Version in force.
        version: u64,
        /// Operator whose command made it.
        winner: String,
        /// Id of the command that made it.
        command: String,
    },
    /// The id was used by a command with another content.
    IdReused {
        /// The id.
        id: String,
    },
    /// A value of the command is not allowed.
    Invalid {
        /// All findings, each naming its field.
        findings: Vec<String>,
    },
    /// Shares or caps would sum to more than is allowed.
    OverLimit {
        /// The limit that would be exceeded, and the sum.
        detail: String,
    },
    /// The command is larger than the log accepts.
    TooLarge {
        /// Its size in bytes, as it would be stored.
        bytes: u64,
        /// Largest size that is accepted.
        max: u64,
    },
    /// Nothing of that name exists to be changed or ended.
    NotFound {
        /// Description of what does not exist.
        what: String,
    },
}

impl Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict {
                version,
                winner,
                command,
            } => write!(
                f,
                "version {version} is in force, made by {winner} with command {command}"
            ),
            Self::IdReused { id } => write!(f, "command id {id} was used for another command"),
            Self::Invalid { findings } => write!(f, "{}", findings.join("; ")),
            Self::OverLimit { detail } => write!(f, "{detail}"),
            Self::TooLarge { bytes, max } => {
                write!(f, "command of {bytes} bytes: expected at most {max}")
            }
            Self::NotFound { what } => write!(f, "{what} does not exist"),
        }
    }
}

impl Change {
    /// Findings on all names in the change that the settings do not declare, each naming its field.
    ///
    /// ```
    /// use siskinstep::{policy::{Change, Drain}, settings::topology::Topology};
    /// let change = Change::PutDrain(Drain::AvailabilityZone("nowhere".into()));
    /// assert_eq!(change.unknown_names(&Topology::default()).len(), 1);
    /// ```
    #[must_use]
    pub fn unknown_names(&self, topology: &Topology) -> Vec<String> {
        let mut findings = Vec::new();
        match self {
            Self::PutShift(shift) => {
                findings.extend(unknown_service(topology, &shift.service));
                findings.extend(unknown_place(topology, "from", &shift.from));
                findings.extend(unknown_place(topology, "to", &shift.to));
            }
            Self::PutCap(Cap { service, to, .. }) | Self::EndCap { service, to } => {
                findings.extend(unknown_service(topology, service));
                findings.extend(unknown_place(topology, "to", to));
            }
            Self::PutDrain(drain) | Self::EndDrain(drain) => {
                if let Drain::AvailabilityZone(name) = drain {
                    let place = Place::AvailabilityZone(name.clone());
                    findings.extend(unknown_place(topology, "drain", &place));
                }
            }
            Self::EndShift(_) => {}
        }
        findings
    }
}

fn unknown_service(topology: &Topology, name: &str) -> Option<String> {
    let is_known = topology.service(name).is_some();
    (!is_known).then(|| format!("service: {name:?} is not in the settings"))
}

fn unknown_place(topology: &Topology, field: &str, place: &Place) -> Option<String> {
    let is_known = match place {
        Place::Region(name) => topology.region(name).is_some(),
        Place::AvailabilityZone(name) => topology.zone(name).is_some(),
    };
    (!is_known).then(|| format!("{field}: {place} is not in the settings"))
}
