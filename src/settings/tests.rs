//! Tests of the checks on settings.

use super::{SettingsError, parse, topology::Topology};

fn findings(text: &str) -> Vec<String> {
    match parse("s.json", text.as_bytes(), Topology::read) {
        Err(SettingsError::Invalid { findings, .. }) => {
            findings.iter().map(ToString::to_string).collect()
        }
        other => panic!("expected findings, got {other:?}"),
    }
}

#[test]
fn all_findings_come_at_once() {
    let found = findings(
        r#"{"regions": [{"name": "no spaces", "availability_zones": ["a", 7], "extra": 1}],
            "services": [{"name": "s", "kinds": [{"name": "k", "worth": 0}]}]}"#,
    );
    let paths: Vec<&str> = found
        .iter()
        .filter_map(|line| line.split(':').next())
        .collect();
    let expected = [
        "$.regions[0].name",
        "$.regions[0].availability_zones[1]",
        "$.regions[0].extra",
        "$.services[0].kinds[0].worth",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn not_json_names_the_line() {
    let error = parse("s.json", b"{\n  oops", |_| ()).unwrap_err();
    assert!(error.to_string().contains("line 2"), "{error}");
}
