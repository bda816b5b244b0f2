use {
    super::{Credential, Digest, Index, decode, identify},
    crate::{
        call::Reason,
        catalog::{Table, Workspace},
        fuzz,
        keys::WorkspaceKey,
    },
};

pub(crate) fn workspace(keys: &[&str]) -> Workspace {
    let mut keys: Vec<Digest> = keys.iter().map(|key| Digest::of(key.as_bytes())).collect();
    keys.sort_unstable();
    Workspace {
        keys,
        rank: None,
        rate: 0,
        burst: 0,
        homes: Vec::new(),
        source: String::new(),
    }
}

pub(crate) fn credential(key: &str) -> Credential {
    Credential::Key(Digest::of(key.as_bytes()))
}

fn index(workspaces: &[(&str, &[&str])]) -> (Index, Table<Workspace>) {
    let mut table = Table::default();
    for (name, keys) in workspaces {
        table.put(name, workspace(keys), 1);
    }
    let mut index = Index::default();
    index.apply(&table, true);
    (index, table)
}

/// Guards against callers without a valid key that are admitted, and against public routes that ask for one.
#[test]
fn only_known_keys_pass_unless_the_route_is_public() {
    let (index, _) = index(&[("acme", &["a1", "a2"]), ("bolt", &["b1"])]);
    let acme = index.key("acme");
    assert!(acme.is_some() && acme != index.key("bolt"));
    for is_reachable in [true, false] {
        for is_public in [true, false] {
            for key in ["a1", "a2"] {
                let identity = identify(&index, is_public, credential(key), is_reachable);
                assert_eq!(identity, Ok(acme), "{key} {is_public} {is_reachable}");
            }
        }
        for credential in [
            Credential::None,
            Credential::Malformed,
            credential("c1"),
            credential(""),
        ] {
            assert_eq!(identify(&index, true, credential, is_reachable), Ok(None));
            let refused = identify(&index, false, credential, is_reachable).unwrap_err();
            // The key may be newer than the configuration; what is no key cannot be.
            let may_be_newer = matches!(credential, Credential::Key(_)) && !is_reachable;
            let expected = if may_be_newer {
                Reason::IdentityUnknown
            } else {
                Reason::Unauthorized
            };
            assert_eq!(refused, expected, "{credential:?} {is_reachable}");
        }
    }
}

/// Guards against a deployment without workspaces that refuses callers or names one.
#[test]
fn without_workspaces_no_caller_is_identified() {
    for credential in [Credential::None, Credential::Malformed, credential("a1")] {
        assert_eq!(
            identify(&Index::default(), false, credential, false),
            Ok(None)
        );
    }
}

/// Guards against open access after the last workspace is removed by name.
#[test]
fn an_empty_list_of_workspaces_admits_nobody() {
    let (mut index, mut table) = index(&[("acme", &["a1"])]);
    table.remove("acme", 2);
    assert!(index.apply(&table, true));
    let refused = identify(&index, false, credential("a1"), true);
    assert_eq!(refused, Err(Reason::Unauthorized));
    assert!(index.apply(&table, false));
    assert_eq!(identify(&index, false, Credential::None, true), Ok(None));
}

/// Guards against limits and queues that lose track of a workspace whose row changes, and against a key of the arena that
/// matches a later workspace.
#[test]
fn workspaces_that_stay_keep_their_keys_and_those_of_removed_ones_never_match_again() {
    let (mut index, mut table) = index(&[("acme", &["a1"]), ("bolt", &["b1"]), ("cask", &["c1"])]);
    let key = |index: &Index, name: &str| index.key(name).unwrap();
    let [acme, bolt, cask] = ["acme", "bolt", "cask"].map(|name| key(&index, name));
    let mut changed = workspace(&["a2", "c1"]);
    changed.rate = 1_500;
    changed.burst = 2_000;
    table.put("acme", changed, 2);
    table.remove("cask", 2);
    table.put("dune", workspace(&["d1"]), 2);
    assert!(index.apply(&table, true));
    assert!(!index.apply(&table, true));
    assert_eq!((key(&index, "acme"), key(&index, "bolt")), (acme, bolt));
    assert_eq!((index.key("cask"), index.get(cask)), (None, None));
    assert_ne!(key(&index, "dune"), cask);
    let row = index.get(acme).unwrap();
    assert_eq!((&*row.name, row.rate, row.burst), ("acme", 1_500, 2_000));
    let find = |text: &str| index.find(&Digest::of(text.as_bytes()));
    assert_eq!(
        (find("a1"), find("a2"), find("c1")),
        (None, Some(acme), Some(acme))
    );
    let names: Vec<&str> = index.rows().map(|(_, row)| &*row.name).collect();
    assert_eq!(names, ["acme", "bolt", "dune"]);
}

/// Guards against keys that the bucket index misses, for any number of keys.
#[test]
fn every_key_is_found_and_no_other() {
    for count in [1, 2, 3, 10, 257, 5_000] {
        let mut table = Table::default();
        for number in 0..count {
            table.put(
                &format!("t{number}"),
                workspace(&[&format!("key-{number}")]),
                1,
            );
        }
        let mut index = Index::default();
        index.apply(&table, true);
        let find = |number: u32| index.find(&Digest::of(format!("key-{number}").as_bytes()));
        for number in 0..count {
            let found: Option<WorkspaceKey> = index.key(&format!("t{number}"));
            assert!(
                found.is_some() && find(number) == found,
                "{number} of {count}"
            );
        }
        for number in count..count + 100 {
            assert_eq!(find(number), None, "{number} of {count}");
        }
    }
}

#[test]
fn one_bearer_key_is_accepted_and_everything_else_is_malformed() {
    for value in ["Bearer k1", "bearer k1", "BEARER    k1", "bEaReR k1"] {
        assert_eq!(decode([value.as_bytes()]), credential("k1"), "{value}");
    }
    assert_eq!(decode([&b"Bearer a b"[..]]), credential("a b"));
    for value in [
        "",
        "Bearer",
        "Bearer ",
        "Bearer    ",
        "Bearer\tk1",
        "Bearerk1",
        "Basic k1",
        " Bearer k1",
        "k1",
        "Bearer: k1",
    ] {
        assert_eq!(
            decode([value.as_bytes()]),
            Credential::Malformed,
            "{value:?}"
        );
    }
    let twice = [&b"Bearer k1"[..], b"Bearer k1"];
    assert_eq!(decode(twice), Credential::Malformed);
    assert_eq!(decode([]), Credential::None);
}

/// Guards against panics, and against a value that is taken for a key with other bytes than those after the scheme.
/// The input is the case of the scheme's letters, the position of a wrong letter (none from 6 on), spaces and the key.
#[test]
fn fuzz_credentials() {
    fuzz::check(
        2_000,
        |(cases, wrong, spaces, key): &(u8, u8, u8, Vec<u8>)| {
            let mut value = b"bearer".to_vec();
            for (at, letter) in value.iter_mut().enumerate() {
                if cases >> at & 1 == 1 {
                    letter.make_ascii_uppercase();
                }
                if usize::from(wrong % 16) == at {
                    *letter = b'#';
                }
            }
            value.resize(6 + usize::from(spaces % 4), b' ');
            value.extend(key);
            let start = value[6..].iter().take_while(|byte| **byte == b' ').count();
            let sent = &value[6 + start..];
            let is_valid = wrong % 16 > 5 && start > 0 && !sent.is_empty();
            let expected = if is_valid {
                Credential::Key(Digest::of(sent))
            } else {
                Credential::Malformed
            };
            assert_eq!(decode([&value[..]]), expected);
            let twice = [&value[..], &key[..]];
            assert_eq!(decode(twice), Credential::Malformed);
            assert!(!matches!(decode([&key[..]]), Credential::None));
        },
    );
}
