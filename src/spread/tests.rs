//! Tests that a configuration never goes backwards.

use {super::decide::is_newer, crate::policy::Policy};

#[test]
fn an_older_or_equal_version_never_comes_into_force() {
    let offered = |version| Policy {
        version,
        ..Policy::default()
    };
    assert!(is_newer(3, &offered(4)));
    assert!(!is_newer(4, &offered(4)));
    assert!(!is_newer(5, &offered(4)));
}
