//! Tests of the argument parsers.

use {
    super::parse::{amount, drain, place},
    crate::policy::{Amount, Drain, Place},
};

#[test]
fn places_amounts_and_drains_are_parsed() {
    assert_eq!(place("region/tamar"), Ok(Place::Region("tamar".to_owned())));
    assert_eq!(amount("250permille"), Ok(Amount::Permille(250)));
    assert_eq!(amount("40/s"), Ok(Amount::PerSecond(40)));
    assert_eq!(drain("vm/entry-1"), Ok(Drain::Vm("entry-1".to_owned())));
}

#[test]
fn errors_state_the_input_and_the_expected_form() {
    let error = amount("40%").unwrap_err().to_string();
    assert!(
        error.contains("40%") && error.contains("250permille"),
        "{error}"
    );
    assert!(place("tamar").is_err());
    assert!(drain("host/x").is_err());
}

#[test]
fn request_kinds_of_a_load_plan_are_parsed() {
    let kind = super::load::kind("/swapdesk/book=20=40").unwrap();
    assert_eq!(
        (kind.path.as_str(), kind.rate, kind.worth),
        ("/swapdesk/book", 20, 40)
    );
    for invalid in ["/swapdesk/book", "/a/b=x", "/a/b=1=-1"] {
        assert!(super::load::kind(invalid).is_err(), "{invalid}");
    }
}
