//! Which configuration comes into force, and whom to ask. Without I/O or clock.

use {
    super::messages::{Fetched, Report},
    crate::{
        keys::ZoneKey,
        membership::{Member, Members},
        policy::{self, Command, Policy},
    },
    std::net::SocketAddr,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Commands that a difference holds at most; beyond, the whole configuration is sent.
pub(super) const MOST_COMMANDS: usize = 200;
/// VMs of a zone that ask control for the others.
const PARENTS: usize = 2;

/// What an answer means for the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing new.
    Same,
    /// This one comes into force.
    Newer(Policy),
    /// The two sides disagree on what a version holds.
    Mismatch,
}

/// A hash of everything that a configuration orders.
pub(super) fn digest(policy: &Policy) -> u64 {
    let bytes = postcard::to_stdvec(&policy.without_receipts());
    xxh3_64(&bytes.unwrap_or_default())
}

/// What the asker of `version` gets.
pub(super) fn answer(policy: &Policy, version: u64, full: bool) -> Fetched {
    let mut fetched = Fetched {
        version: policy.version,
        digest: digest(policy),
        commands: Vec::new(),
        policy: None,
    };
    if full {
        fetched.policy = Some(policy.without_receipts());
    } else if policy.version > version {
        match commands_since(policy, version) {
            Some(commands) => fetched.commands = commands,
            None => fetched.policy = Some(policy.without_receipts()),
        }
    }
    fetched
}

/// The accepted commands that lead from `version` to the present one, if all are remembered.
fn commands_since(policy: &Policy, version: u64) -> Option<Vec<Command>> {
    let missing = usize::try_from(policy.version.checked_sub(version)?).ok()?;
    if missing > MOST_COMMANDS {
        return None;
    }
    let made = |receipt: &policy::state::Receipt| {
        let accepted = receipt.answer.as_ref().ok()?;
        (accepted.version > version).then(|| (accepted.version, receipt.command.clone()))
    };
    let mut rows: Vec<_> = policy.receipts.iter().rev().filter_map(made).collect();
    rows.sort_by_key(|(made, _)| *made);
    let whole = rows.len() == missing
        && rows
            .iter()
            .zip(version + 1..)
            .all(|((made, _), expected)| *made == expected);
    whole.then(|| rows.into_iter().map(|(_, command)| command).collect())
}

/// What `fetched` means while `current` is in force. The version never decreases.
pub(super) fn step(current: &Policy, fetched: Fetched) -> Step {
    if fetched.version < current.version {
        return Step::Same;
    }
    if fetched.version == current.version && fetched.policy.is_none() {
        return if fetched.digest == digest(current) {
            Step::Same
        } else {
            Step::Mismatch
        };
    }
    let next = match fetched.policy {
        Some(policy) => Some(policy),
        None => replay(current, fetched.commands),
    };
    match next {
        Some(next) if next.version == fetched.version && digest(&next) == fetched.digest => {
            Step::Newer(next)
        }
        _ => Step::Mismatch,
    }
}

fn replay(current: &Policy, commands: Vec<Command>) -> Option<Policy> {
    let mut next = current.clone();
    for command in commands {
        policy::apply(&mut next, command).ok()?;
    }
    let excess = next.receipts.len().saturating_sub(MOST_COMMANDS);
    next.receipts.drain(..excess);
    Some(next)
}

/// The VMs of a zone that ask control, by rendezvous hash: every VM names the same ones.
pub(super) fn parents(members: &Members, zone: ZoneKey) -> Vec<&Member> {
    let mut rows: Vec<&Member> = members.rows.iter().filter(|row| row.zone == zone).collect();
    let seed = u64::from(zone.0);
    rows.sort_by_key(|row| {
        (
            xxh3_64_with_seed(row.name.as_bytes(), seed),
            row.name.clone(),
        )
    });
    rows.truncate(PARENTS);
    rows
}

/// Whom to ask, in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Sources {
    /// Members that are known to be ahead; they answer at once.
    pub ahead: Option<SocketAddr>,
    /// Those that answer as soon as there is news.
    pub watched: Vec<SocketAddr>,
    /// Whether this VM asks control for others.
    pub parent: bool,
}

/// Whom the VM `own` of `zone` asks, when it has `version` and has polled `polls` times.
pub(super) fn sources(
    members: &Members,
    own: (&str, ZoneKey),
    version: u64,
    control: &[SocketAddr],
    polls: usize,
) -> Sources {
    let (name, zone) = own;
    let parents = parents(members, zone);
    let rank = parents.iter().position(|row| row.name == name);
    let others = parents.iter().filter(|row| row.name != name);
    let mut watched: Vec<SocketAddr> = Vec::new();
    // A VM that is alone or not alive yet asks control itself.
    if rank.is_none() && members.rows.iter().any(|row| row.name == name) {
        watched.extend(others.map(|row| row.peers));
    }
    // A control VM that was cut off answers, but with old news: ask them in turn.
    let mut control = control.to_vec();
    if !control.is_empty() {
        let turn = (polls + rank.unwrap_or(0)) % control.len();
        control.rotate_left(turn);
    }
    watched.extend(control);
    Sources {
        ahead: ahead(members, own, version),
        watched,
        parent: rank.is_some(),
    }
}

/// The member that has the highest version above `version`, of the own zone if one there has it.
fn ahead(members: &Members, own: (&str, ZoneKey), version: u64) -> Option<SocketAddr> {
    let ahead = members
        .rows
        .iter()
        .filter(|row| row.name != own.0 && row.version > version);
    let best = ahead.max_by_key(|row| (row.version, row.zone == own.1));
    best.map(|row| row.peers)
}

/// The highest version that a VM of `zone` has in force, or, if none is seen, a VM elsewhere.
pub(super) fn floor(members: &Members, zone: ZoneKey) -> Option<u64> {
    let rows = members.rows.iter();
    let best = rows.max_by_key(|row| (row.zone == zone, row.version));
    best.map(|row| row.version)
}

/// What a VM that asks for others says of them.
pub(super) fn reports(members: &Members, zone: (ZoneKey, &str)) -> Vec<Report> {
    let rows = members.rows.iter().filter(|row| row.zone == zone.0);
    let report = |row: &Member| Report {
        vm: row.name.clone(),
        zone: zone.1.to_owned(),
        version: row.version,
    };
    rows.map(report).collect()
}
