//! Tests of the checks on settings.

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

#[test]
fn any_bytes_are_settings_or_findings() {
    let whole = br#"{"vm":"a","availability_zone":"z","regions":[{"name":"r","availability_zones":["z"]}],
        "services":[{"name":"s","kinds":[{"name":"k","worth":1}]}],"ring":9,"listeners":{"admin":"x"}}"#;
    fuzz::check(300, |edits: &Vec<(u8, u8)>| {
        let mut bytes = whole.to_vec();
        for (at, byte) in edits.iter().take(6) {
            let at = usize::from(*at) % bytes.len();
            bytes[at] = *byte;
        }
        // Neither panics; a broken file has at least one finding.
        for broken in [
            parse("s.json", &bytes, entry::Settings::read).is_err(),
            parse("s.json", &bytes, control::Settings::read).is_err(),
        ] {
            assert!(broken, "the listener's address is never valid");
        }
    });
}
