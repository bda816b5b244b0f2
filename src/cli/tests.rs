//! Tests of what an operator types.

use {
    super::order::{amount, drain, place},
    crate::policy::{Amount, Drain, Place},
};

#[test]
fn places_amounts_and_drains_are_read() {
    assert_eq!(place("region/tamar"), Ok(Place::Region("tamar".to_owned())));
    assert_eq!(amount("250permille"), Ok(Amount::Permille(250)));
    assert_eq!(amount("40/s"), Ok(Amount::PerSecond(40)));
    assert_eq!(drain("vm/entry-1"), Ok(Drain::Vm("entry-1".to_owned())));
}

#[test]
fn errors_name_what_was_typed_and_what_is_expected() {
    let error = amount("40%").unwrap_err().to_string();
    assert!(
        error.contains("40%") && error.contains("250permille"),
        "{error}"
    );
    assert!(place("tamar").is_err());
    assert!(drain("host/x").is_err());
}

#[test]
fn kinds_of_a_load_are_read() {
    let kind = super::load::kind("/swapdesk/book=20=40").unwrap();
    assert_eq!(
        (kind.path.as_str(), kind.rate, kind.worth),
        ("/swapdesk/book", 20, 40)
    );
    for wrong in ["/swapdesk/book", "/a/b=x", "/a/b=1=-1"] {
        assert!(super::load::kind(wrong).is_err(), "{wrong}");
    }
}
