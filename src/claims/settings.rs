//! Settings of the claims duty.

use {
    crate::{ledger::join::QUARANTINE_MS, settings::section::Section},
    std::net::SocketAddr,
};

/// Upper bound of `claim_ms`: half of the time that a blank ledger waits before it copies.
const MAX_CLAIM_MS: u64 = QUARANTINE_MS / 2;
/// Maximum number of ledgers in a group.
pub const MAX_LEDGERS: usize = 7;

/// Group of ledgers that vote on the same keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Name, which prefixes the keys minted for the group; the group of a region has its name.
    pub name: String,
    /// Addresses of the ledgers' peer listeners.
    pub ledgers: Vec<SocketAddr>,
}

/// Settings of the claims duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Groups of ledgers, identical on every VM.
    pub groups: Vec<Group>,
    /// Timeout for collecting a majority of votes, in milliseconds.
    pub claim_ms: u64,
    /// Maximum time in milliseconds for which a response is held back until it is stored.
    pub store_ms: u64,
    /// Maximum size of a stored response in bytes. A resend of a request whose response was larger
    /// is refused with `may_have_run`.
    pub answer_bytes: usize,
    /// Maximum number of open attempts.
    pub pending: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            groups: Vec::new(),
            claim_ms: 1_000,
            store_ms: 500,
            answer_bytes: 16 << 10,
            pending: 4_096,
        }
    }
}

impl Settings {
    /// Reads the section `claims`, and reports invalid values to it.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        let groups = section.list("groups", read_group);
        let mut names: Vec<&str> = groups.iter().map(|group| group.name.as_str()).collect();
        names.sort_unstable();
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            section.reject("groups", "group names must be unique");
        }
        Self {
            groups,
            claim_ms: section.number("claim_ms", base.claim_ms, 10..=MAX_CLAIM_MS),
            store_ms: section.number("store_ms", base.store_ms, 1..=60_000),
            answer_bytes: section.size("answer_bytes", base.answer_bytes, 0..=1 << 18),
            pending: section.size("pending", base.pending, 1..=1 << 16),
        }
    }
}

fn read_group(row: &mut Section<'_>) -> Group {
    let group = Group {
        name: row.name("name"),
        ledgers: row.addresses("ledgers"),
    };
    let mut distinct = group.ledgers.clone();
    distinct.sort_unstable();
    distinct.dedup();
    let is_odd = distinct.len() % 2 == 1;
    if !is_odd || distinct.len() != group.ledgers.len() || distinct.len() > MAX_LEDGERS {
        row.reject("ledgers", "expected 1, 3, 5 or 7 distinct addresses");
    }
    group
}
