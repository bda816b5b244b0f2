//! Decides which configuration takes effect and which VMs to poll. Free of I/O and of clock
//! reads.

use {
    super::messages::{FetchResponse, VersionReport},
    crate::{
        keys::ZoneKey,
        membership::{Member, Members},
        policy::{self, Command, Policy},
    },
    std::net::SocketAddr,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Maximum number of commands in an incremental update; beyond it the full configuration is sent.
pub(super) const MAX_COMMANDS: usize = 200;
/// Number of VMs per zone that poll control on behalf of the others.
const PARENTS_PER_ZONE: usize = 2;

/// Effect of a response on the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The response contains nothing newer.
    Unchanged,
    /// This newer configuration takes effect.
    Newer(Policy),
    /// The two VMs have different contents for the same version.
    Mismatch,
}

/// Hash of a configuration without its receipts.
pub(super) fn digest(policy: &Policy) -> u64 {
    let bytes = postcard::to_stdvec(&policy.without_receipts());
    xxh3_64(&bytes.unwrap_or_default())
}

/// Creates the response to a VM that has `version` in force.
pub(super) fn respond(policy: &Policy, version: u64, full: bool) -> FetchResponse {
    let mut response = FetchResponse {
        version: policy.version,
        digest: digest(policy),
        commands: Vec::new(),
        policy: None,
    };
    if full {
        response.policy = Some(policy.without_receipts());
    } else if policy.version > version {
        match commands_since(policy, version) {
            Some(commands) => response.commands = commands,
            None => response.policy = Some(policy.without_receipts()),
        }
    }
    response
}

/// Returns the accepted commands that lead from `version` to the current one, or `None` if they
/// exceed the maximum or some are no longer retained.
fn commands_since(policy: &Policy, version: u64) -> Option<Vec<Command>> {
    let missing = usize::try_from(policy.version.checked_sub(version)?).ok()?;
    if missing > MAX_COMMANDS {
        return None;
    }
    let accepted = |receipt: &policy::state::Receipt| {
        let acceptance = receipt.answer.as_ref().ok()?;
        (acceptance.version > version).then(|| (acceptance.version, receipt.command.clone()))
    };
    let mut rows: Vec<_> = policy.receipts.iter().rev().filter_map(accepted).collect();
    rows.sort_by_key(|(accepted, _)| *accepted);
    let is_complete = rows.len() == missing
        && rows
            .iter()
            .zip(version + 1..)
            .all(|((accepted, _), expected)| *accepted == expected);
    is_complete.then(|| rows.into_iter().map(|(_, command)| command).collect())
}

/// Evaluates a response while `current` is in force. The version never decreases.
pub(super) fn evaluate(current: &Policy, response: FetchResponse) -> Outcome {
    if response.version < current.version {
        return Outcome::Unchanged;
    }
    if response.version == current.version && response.policy.is_none() {
        return if response.digest == digest(current) {
            Outcome::Unchanged
        } else {
            Outcome::Mismatch
        };
    }
    let next = match response.policy {
        Some(policy) => Some(policy),
        None => replay(current, response.commands),
    };
    match next {
        Some(next) if next.version == response.version && digest(&next) == response.digest => {
            Outcome::Newer(next)
        }
        _ => Outcome::Mismatch,
    }
}

fn replay(current: &Policy, commands: Vec<Command>) -> Option<Policy> {
    let mut next = current.clone();
    for command in commands {
        policy::apply(&mut next, command).ok()?;
    }
    let excess = next.receipts.len().saturating_sub(MAX_COMMANDS);
    next.receipts.drain(..excess);
    Some(next)
}

/// Returns the VMs of a zone that poll control, selected by rendezvous hashing, so that all VMs
/// with the same members select the same ones.
pub(super) fn parents(members: &Members, zone: ZoneKey) -> Vec<&Member> {
    let mut rows: Vec<&Member> = members.rows.iter().filter(|row| row.zone == zone).collect();
    let seed = u64::from(zone.0);
    rows.sort_by_key(|row| {
        (
            xxh3_64_with_seed(row.name.as_bytes(), seed),
            row.name.clone(),
        )
    });
    rows.truncate(PARENTS_PER_ZONE);
    rows
}

/// VMs to poll, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Sources {
    /// Member with a known newer version, which responds immediately.
    pub ahead: Option<SocketAddr>,
    /// VMs to long-poll: they respond as soon as there is a newer version.
    pub long_polled: Vec<SocketAddr>,
    /// Whether the local VM polls control on behalf of the others in its zone.
    pub is_parent: bool,
}

/// Selects the VMs to poll for the VM `local` (name and zone) that has `version` in force and has
/// polled `polls` times.
pub(super) fn sources(
    members: &Members,
    local: (&str, ZoneKey),
    version: u64,
    control: &[SocketAddr],
    polls: usize,
) -> Sources {
    let (name, zone) = local;
    let parents = parents(members, zone);
    let rank = parents.iter().position(|row| row.name == name);
    let others = parents.iter().filter(|row| row.name != name);
    let mut long_polled: Vec<SocketAddr> = Vec::new();
    // A VM that is alone in its zone or not alive yet polls control directly.
    if rank.is_none() && members.rows.iter().any(|row| row.name == name) {
        long_polled.extend(others.map(|row| row.peers));
    }
    // A control VM that is partitioned from the others responds with an outdated version, so the
    // control VMs are polled in rotation.
    let mut control = control.to_vec();
    if !control.is_empty() {
        let turn = (polls + rank.unwrap_or(0)) % control.len();
        control.rotate_left(turn);
    }
    long_polled.extend(control);
    Sources {
        ahead: find_ahead(members, local, version),
        long_polled,
        is_parent: rank.is_some(),
    }
}

/// Returns the member with the highest version above `version`, one in the local zone if several
/// have it.
fn find_ahead(members: &Members, local: (&str, ZoneKey), version: u64) -> Option<SocketAddr> {
    let ahead = members
        .rows
        .iter()
        .filter(|row| row.name != local.0 && row.version > version);
    let best = ahead.max_by_key(|row| (row.version, row.zone == local.1));
    best.map(|row| row.peers)
}

/// Returns the highest version in force on a VM of `zone`, or, if the zone has no known VM, in the
/// whole fleet. `None` if there are no members.
pub(super) fn version_floor(members: &Members, zone: ZoneKey) -> Option<u64> {
    let rows = members.rows.iter();
    let best = rows.max_by_key(|row| (row.zone == zone, row.version));
    best.map(|row| row.version)
}

/// Creates the version reports of a zone: the current version of the local VM, and the versions
/// that the other VMs of the zone have reported.
pub(super) fn reports(
    members: &Members,
    zone: (ZoneKey, &str),
    local: (&str, u64),
) -> Vec<VersionReport> {
    let report = |vm: &str, version| VersionReport {
        vm: vm.to_owned(),
        zone: zone.1.to_owned(),
        version,
    };
    let others = members
        .rows
        .iter()
        .filter(|row| row.zone == zone.0 && row.name != local.0);
    let mut reports: Vec<VersionReport> =
        others.map(|row| report(&row.name, row.version)).collect();
    reports.push(report(local.0, local.1));
    reports
}
