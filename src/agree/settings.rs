//! Settings of the agree duty.

use {
    crate::settings::section::Section,
    std::net::{Ipv4Addr, SocketAddr},
};

/// A control VM as listed in the settings of the control VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Name of the VM.
    pub name: String,
    /// Its listener for peers.
    pub peers: SocketAddr,
    /// Its listener for operators.
    pub operators: SocketAddr,
}

impl MemberConfig {
    /// Reads one row of the list `members`.
    pub fn read(row: &mut Section<'_>) -> Self {
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let member = Self {
            name: row.name("name"),
            peers: row.address("peers", unspecified),
            operators: row.address("operators", unspecified),
        };
        for (field, address) in [("peers", member.peers), ("operators", member.operators)] {
            if address.port() == 0 {
                row.reject(
                    field,
                    "expected an address that the other control VMs can reach",
                );
            }
        }
        member
    }
}

/// Settings of the agree duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval of the leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Milliseconds without a leader after which a replica may stand for election, and without a
    /// quorum after which a leader steps down. The delay before an election is up to twice as long,
    /// at random.
    pub election_ms: u64,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Control VMs that may bootstrap the cluster together; empty for this one alone.
    pub members: Vec<MemberConfig>,
    /// Whether the listed members may bootstrap a cluster; false for VMs that join an existing one.
    pub may_bootstrap: bool,
    /// Whether control VMs that send hellos become members without an operator, and members from which
    /// the leader received nothing for `silent_ms` are removed.
    pub auto_join: bool,
    /// Milliseconds without a message after which a member is removed. It joins again once it is heard.
    pub silent_ms: u64,
    /// Control VMs that may be lost at the same time, with their disks, without the loss of anything
    /// accepted.
    pub tolerated_losses: usize,
    /// Region of this control VM, by name; empty if unknown.
    pub region: String,
    /// Availability zone of this control VM, by name; empty if unknown.
    pub zone: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 200,
            election_ms: 1_000,
            snapshot_entries: 1_000,
            members: Vec::new(),
            may_bootstrap: true,
            auto_join: false,
            silent_ms: 5_000,
            tolerated_losses: 1,
            region: String::new(),
            zone: String::new(),
        }
    }
}

impl Settings {
    /// Reads the section `agree`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let defaults = Self::default();
        let settings = Self {
            heartbeat_ms: section.number("heartbeat_ms", defaults.heartbeat_ms, 10..=10_000),
            election_ms: section.number("election_ms", defaults.election_ms, 50..=60_000),
            snapshot_entries: section.number(
                "snapshot_entries",
                defaults.snapshot_entries,
                1..=100_000,
            ),
            members: Vec::new(),
            may_bootstrap: defaults.may_bootstrap,
            auto_join: section.flag("open", defaults.auto_join),
            silent_ms: section.number("silent_ms", defaults.silent_ms, 100..=600_000),
            tolerated_losses: section.size("tolerated_losses", defaults.tolerated_losses, 0..=10),
            region: defaults.region,
            zone: defaults.zone,
        };
        if settings.election_ms < 3 * settings.heartbeat_ms {
            section.reject(
                "election_ms",
                "expected at least three times `heartbeat_ms`",
            );
        }
        if settings.auto_join && settings.silent_ms < 2 * settings.election_ms {
            section.reject("silent_ms", "expected at least twice `election_ms`");
        }
        settings
    }
}
