//! Which group of ledgers votes on a key.

use {super::settings::Group, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Separates the group's name from the random part of a minted key.
const SEPARATOR: u8 = b'.';

/// The group that votes on `key`: the one it is minted for, or else the one of the highest hash.
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
    minted.or_else(|| (0..groups.len()).max_by_key(|at| weight(&groups[*at], key)))
}

// By name, so that the order of the settings does not count.
fn weight(group: &Group, key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, xxh3_64_with_seed(group.name.as_bytes(), 0))
}

/// The group that new keys of a region are minted for: its own, or else the first.
///
/// ```
/// use siskinstep::claims::{Group, home};
/// let group = |name: &str| Group { name: name.into(), ledgers: vec![] };
/// let groups = [group("derwent"), group("tamar")];
/// assert_eq!(home::own(&groups, "tamar").as_deref(), Some("tamar"));
/// assert_eq!(home::own(&groups, "macquarie").as_deref(), Some("derwent"));
/// ```
#[must_use]
pub fn own(groups: &[Group], region: &str) -> Option<String> {
    let own = groups.iter().find(|group| group.name == region);
    own.or(groups.first()).map(|group| group.name.clone())
}

/// A key homed in the group `name`.
///
/// ```
/// assert_eq!(siskinstep::claims::home::mint("tamar", 0x5f), format!("tamar.{:032x}", 0x5f));
/// ```
#[must_use]
pub fn mint(name: &str, random: u128) -> String {
    format!("{name}{}{random:032x}", char::from(SEPARATOR))
}
