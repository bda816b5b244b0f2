//! Settings of the agree duty.

use {
    crate::settings::section::Section,
    std::net::{Ipv4Addr, SocketAddr},
};

/// A control VM as the settings of every control VM name it.
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
        let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let listed = Self {
            name: row.name("name"),
            peers: row.address("peers", nowhere),
            operators: row.address("operators", nowhere),
        };
        for (field, address) in [("peers", listed.peers), ("operators", listed.operators)] {
            if address.port() == 0 {
                row.reject(
                    field,
                    "expected an address that the other control VMs can reach",
                );
            }
        }
        listed
    }
}

/// Settings of the agree duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds between two messages of an idle leader.
    pub heartbeat_ms: u64,
    /// Milliseconds without a leader after which a replica may stand for election; as long without
    /// a quorum, a leader gives up. The wait is up to twice as long, at random.
    pub election_ms: u64,
    /// Entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Control VMs that may found the cluster together; empty for this one alone.
    pub members: Vec<MemberConfig>,
    /// Whether the listed members may found a cluster; not for VMs that join one that there is.
    pub may_bootstrap: bool,
    /// Whether control VMs that show themselves become members without an operator, and silent
    /// ones make room for them.
    pub auto_join: bool,
    /// Milliseconds of silence after which a member makes room for one that shows itself.
    pub silent_ms: u64,
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
        }
    }
}

impl Settings {
    /// Reads the section `agree`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        let settings = Self {
            heartbeat_ms: section.number("heartbeat_ms", base.heartbeat_ms, 10..=10_000),
            election_ms: section.number("election_ms", base.election_ms, 50..=60_000),
            snapshot_entries: section.number(
                "snapshot_entries",
                base.snapshot_entries,
                1..=100_000,
            ),
            members: Vec::new(),
            may_bootstrap: base.may_bootstrap,
            auto_join: section.flag("open", base.auto_join),
            silent_ms: section.number("silent_ms", base.silent_ms, 100..=600_000),
        };
        if settings.election_ms < 3 * settings.heartbeat_ms {
            section.reject(
                "election_ms",
                "expected at least three times `heartbeat_ms`",
            );
        }
        settings
    }
}
