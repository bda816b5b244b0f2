//! Tests of settings validation.

use {
    super::{SettingsError, parse, topology::Topology},
    crate::{control, entry, fuzz},
};

fn findings(text: &str) -> Vec<String> {
    match parse("s.json", text.as_bytes(), Topology::read) {
        Err(SettingsError::Invalid { findings, .. }) => {
            findings.iter().map(ToString::to_string).collect()
        }
        other => panic!("expected findings, got {other:?}"),
    }
}

#[test]
fn all_findings_are_reported_together() {
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
fn a_json_syntax_error_names_its_line() {
    let error = parse("s.json", b"{\n  oops", |_| ()).unwrap_err();
    assert!(error.to_string().contains("line 2"), "{error}");
}

#[test]
fn corrupted_settings_are_rejected_without_a_panic() {
    let settings = br#"{"vm":"a","availability_zone":"z","regions":[{"name":"r","availability_zones":["z"]}],
        "services":[{"name":"s","kinds":[{"name":"k","worth":1}]}],"ring":9,"listeners":{"admin":"x"}}"#;
    fuzz::check(300, |edits: &Vec<(u8, u8)>| {
        let mut bytes = settings.to_vec();
        for (index, byte) in edits.iter().take(6) {
            let index = usize::from(*index) % bytes.len();
            bytes[index] = *byte;
        }
        // Neither reader panics, and each rejects the file.
        for is_rejected in [
            parse("s.json", &bytes, entry::Settings::read).is_err(),
            parse("s.json", &bytes, control::Settings::read).is_err(),
        ] {
            assert!(is_rejected, "the listener's address is never valid");
        }
    });
}
