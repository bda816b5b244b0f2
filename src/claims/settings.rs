//! Settings of the claims duty.

use {
    crate::{ledger::join::QUARANTINE_MS, settings::section::Section},
    std::net::SocketAddr,
};

/// Longest `claim_ms`: half of the time that a blank ledger waits before it copies.
const LONGEST_CLAIM_MS: u64 = QUARANTINE_MS / 2;
/// Ledgers of a group at most.
pub const LEDGERS: usize = 7;

/// Ledgers that vote on the same keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Name, the first part of the keys minted for it; a region's name for that region's group.
    pub name: String,
    /// Peer listeners of its ledgers.
    pub ledgers: Vec<SocketAddr>,
}

/// Settings of the claims duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Groups of ledgers, the same on every VM.
    pub groups: Vec<Group>,
    /// Milliseconds at most to gather a majority of votes.
    pub claim_ms: u64,
    /// Milliseconds at most that an answer waits for its outcome to be stored.
    pub store_ms: u64,
    /// Bytes of an answer that is stored; a resend of a larger one gets `may_have_run`.
    pub answer_bytes: usize,
    /// Requests in claims at the same time.
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
    /// Reads the section `claims`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let base = Self::default();
        let groups = section.list("groups", read_group);
        let mut names: Vec<&str> = groups.iter().map(|group| group.name.as_str()).collect();
        names.sort_unstable();
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            section.reject("groups", "group names must differ");
        }
        Self {
            groups,
            claim_ms: section.number("claim_ms", base.claim_ms, 10..=LONGEST_CLAIM_MS),
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
    let odd = distinct.len() % 2 == 1;
    if !odd || distinct.len() != group.ledgers.len() || distinct.len() > LEDGERS {
        row.reject("ledgers", "expected 1, 3, 5 or 7 different addresses");
    }
    group
}
