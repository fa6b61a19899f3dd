//! Tests of parsing the platform's settings.

mod common;

use adapter::parse_settings;
use common::SETTINGS;
use policy::types::{Idempotency, ReportField, ValueDecay, WeightSource};

#[test]
fn settings_are_parsed_and_unknown_keys_ignored() {
    let settings = parse_settings(SETTINGS.as_bytes()).expect("settings");
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::Keyed {
            window: 6_000_000,
            zone_only: true
        }
    );
    assert_eq!(settings.classes[1].idempotency, Idempotency::NonIdempotent);
    assert!(
        settings.classes[0].is_ordered
            && settings.polls_discovery
            && settings.kinds[1].has_host_routes
            && settings.can_probe
    );
    assert_eq!(
        (
            settings.max_calls,
            settings.max_queued,
            settings.max_attempts,
            settings.replicas
        ),
        (8, 100, 12, 2)
    );
    assert_eq!(
        (
            settings.kinds[1].max_messages_per_call,
            settings.decay,
            settings.weight_source
        ),
        (4, ValueDecay::Halving, WeightSource::Rough)
    );
    assert_eq!(
        settings.report_fields,
        [
            ReportField::LimitPerSecond,
            ReportField::Other,
            ReportField::AllowanceLeft
        ]
    );
    assert_eq!(
        (
            settings.rules.ordering_delay,
            settings.max_retry_after,
            settings.zone_fees[0]
        ),
        (9, 7, 0.5)
    );
}

#[test]
fn invalid_settings_are_reported_with_reason_and_path() {
    for (text, expected) in [
        ("{", "not JSON"),
        ("[]", "not an object"),
        ("{}", "/services"),
        (
            r#"{"services":[{"aim":1,"giveUp":1,"effect":"odd"}]}"#,
            "/services/0/effect",
        ),
        (
            r#"{"siblings":1,"services":[{"aim":1,"giveUp":1,"effect":"fragile"}]}"#,
            "/familyInfo/callsOut",
        ),
        (
            r#"{"services":[{"aim":1,"giveUp":1,"effect":"fragile"}]}"#,
            "/siblings",
        ),
        (
            r#"{"siblings":0,"services":[{"aim":1,"giveUp":1,"effect":"fragile"}]}"#,
            "fewer relays",
        ),
        (
            r#"{"siblings":3,"ordinal":3,"services":[{"aim":1,"giveUp":1,"effect":"fragile"}]}"#,
            "fewer relays",
        ),
    ] {
        let error = parse_settings(text.as_bytes()).expect_err(text).to_string();
        assert!(
            error.contains(expected) && !error.contains('\n'),
            "{text}: {error}"
        );
    }
}

#[test]
fn settings_errors_have_their_exact_text() {
    let class = r#"{"aim":1,"giveUp":1,"effect":"fragile"}"#;
    for (text, expected) in [
        (
            "[]".to_string(),
            "settings are not an object at the settings text",
        ),
        (
            "{".to_string(),
            "settings are not JSON (EOF while parsing an object at line 1 column 1) at the settings text",
        ),
        ("{}".to_string(), "settings name no class at /services"),
        (
            r#"{"services":[{"aim":1,"giveUp":1}]}"#.to_string(),
            "settings lack a known effect at /services/0/effect",
        ),
        (
            format!(r#"{{"services":[{class},{{"effect":"dedup"}}]}}"#),
            "settings lack a number at /services/1/window",
        ),
        (
            r#"{"services":[{"effect":"fragile"}]}"#.to_string(),
            "settings lack a number at /services/0/aim",
        ),
        (
            r#"{"services":[{"effect":"fragile","aim":-1}]}"#.to_string(),
            "settings lack a number at /services/0/aim",
        ),
        (
            r#"{"services":[{"effect":"fragile","aim":1,"giveUp":0.5}]}"#.to_string(),
            "settings want a number of 1 or more at /services/0/giveUp",
        ),
        (
            format!(r#"{{"services":[{class}]}}"#),
            "settings lack a number at /siblings",
        ),
        (
            format!(r#"{{"siblings":2,"ordinal":2,"services":[{class}]}}"#),
            "settings count fewer relays than there are at /siblings",
        ),
        (
            format!(
                r#"{{"siblings":1,"services":[{class}],"familyInfo":{{"callsOut":1}},"limits":{{"mostHeld":1,"maxAttempts":0}}}}"#
            ),
            "settings want a number of 1 or more at /limits/maxAttempts",
        ),
        (
            format!(
                r#"{{"siblings":1,"services":[{class}],"familyInfo":{{"callsOut":1}},"limits":{{"mostHeld":1,"maxAttempts":1}}}}"#
            ),
            "settings lack a number at /rules/coldFrom",
        ),
    ] {
        let error = parse_settings(text.as_bytes()).expect_err(&text);
        assert_eq!(error.to_string(), expected, "{text}");
    }
}
