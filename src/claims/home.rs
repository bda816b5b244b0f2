//! Assignment of idempotency keys to ledger groups.

use {super::settings::Group, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Separator between the group name and the random part of a minted key.
const SEPARATOR: u8 = b'.';

/// Index of the group that votes on `key`: the group whose name prefixes the key, otherwise the
/// highest score in rendezvous hashing. `None` if there are no groups.
///
/// ```
/// use siskinstep::claims::{Group, home};
/// let group = |name: &str| Group { name: name.into(), ledgers: vec![] };
/// let groups = [group("derwent"), group("tamar")];
/// assert_eq!(home::group_of(&groups, b"tamar.5f"), Some(1));
/// assert_eq!(home::group_of(&[], b"tamar.5f"), None);
/// ```
#[must_use]
pub fn group_of(groups: &[Group], key: &[u8]) -> Option<usize> {
    let name = key.split(|byte| *byte == SEPARATOR).next();
    let name = name.filter(|name| name.len() < key.len());
    let minted = name.and_then(|name| {
        groups
            .iter()
            .position(|group| group.name.as_bytes() == name)
    });
    minted.or_else(|| (0..groups.len()).max_by_key(|at| score(&groups[*at], key)))
}

// Uses the name, so that the result does not depend on the order of groups in the settings.
fn score(group: &Group, key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, xxh3_64_with_seed(group.name.as_bytes(), 0))
}

/// Name of the group for new keys of a region: the region's group, otherwise the first one.
///
/// ```
/// use siskinstep::claims::{Group, home};
/// let group = |name: &str| Group { name: name.into(), ledgers: vec![] };
/// let groups = [group("derwent"), group("tamar")];
/// assert_eq!(home::local_group(&groups, "tamar").as_deref(), Some("tamar"));
/// assert_eq!(home::local_group(&groups, "macquarie").as_deref(), Some("derwent"));
/// ```
#[must_use]
pub fn local_group(groups: &[Group], region: &str) -> Option<String> {
    let local = groups.iter().find(|group| group.name == region);
    local.or(groups.first()).map(|group| group.name.clone())
}

/// New idempotency key that the group `name` votes on.
///
/// ```
/// assert_eq!(siskinstep::claims::home::mint_key("tamar", 0x5f), format!("tamar.{:032x}", 0x5f));
/// ```
#[must_use]
pub fn mint_key(name: &str, random: u128) -> String {
    format!("{name}{}{random:032x}", char::from(SEPARATOR))
}
