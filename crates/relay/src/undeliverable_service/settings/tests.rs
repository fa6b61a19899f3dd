//! Tests of the undeliverable section of the operator file.

use super::Settings;

fn parse(text: &str) -> Result<Settings, toml::de::Error> {
    toml::from_str(text)
}

/// The error message for a section that cannot be used.
fn error_of(text: &str) -> String {
    match parse(text) {
        Err(error) => error.to_string(),
        Ok(settings) => settings.check().expect_err(text).to_string(),
    }
}

#[test]
fn error_names_the_invalid_key_and_absent_keys_have_defaults() {
    let good = parse("folder = \"/x\"").expect("valid section");
    good.check().expect("valid settings");
    assert_eq!(
        (
            good.max_concurrent_resends,
            good.settle_time(),
            good.store_limits().records
        ),
        (2, 60_000_000, 1_000_000)
    );
    let partner = "folder = \"/x\"\n[[partners]]\ndestination = 3\naddress = \"127.0.0.1:9\"\n";
    let rule = "folder = \"/x\"\n[[rules]]\nname = \"r\"\n";
    for (text, named) in [
        ("folder = \"x\"".to_string(), "folder"),
        ("folder = \"/x\"\nmax_mb = 0".into(), "max_mb"),
        ("folder = \"/x\"\nsettle_s = nan".into(), "settle_s"),
        ("folder = \"/x\"\nat_onze = 1".into(), "at_onze"),
        (
            format!("{partner}path = \"/s\"\napplied = [\"done\"]"),
            "{id}",
        ),
        (
            format!("{partner}path = \"/s/{{id}}\"\napplied = []"),
            "applied",
        ),
        (
            format!("{partner}path = \"/s/{{id}}\"\napplied = [\"a\"]\nnot_applied = [\"a\"]"),
            "applied",
        ),
        (format!("{rule}when = \"after\""), "after_s"),
        (
            format!("{rule}when = \"recovered\"\nafter_s = 3.0"),
            "after_s",
        ),
        (format!("{rule}when = \"now\""), "now"),
        (
            format!("{rule}when = \"recovered\"\nper_minute = 0"),
            "per_minute",
        ),
    ] {
        let error = error_of(&text);
        assert!(error.contains(named), "{text}: {error}");
    }
}
