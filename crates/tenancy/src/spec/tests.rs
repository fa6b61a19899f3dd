use super::*;

/// Why a text is rejected as a specification.
#[derive(Debug, thiserror::Error)]
enum ParseError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Spec(#[from] SpecError),
}

fn parse_spec(text: &str) -> Result<TenantSpec, ParseError> {
    let spec: TenantSpec = serde_json::from_str(text)?;
    spec.check(&["payout".into(), "update".into()])?;
    Ok(spec)
}

#[test]
fn absent_fields_have_their_defaults() {
    assert_eq!(parse_spec("{}").ok(), Some(TenantSpec::default()));
    let text = serde_json::to_string(&TenantSpec::default()).expect("JSON");
    assert_eq!(text, r#"{"weight":100,"on_removal":"finish"}"#);
}

#[test]
fn error_names_the_value_out_of_bounds() {
    for (text, named) in [
        (r#"{"weight":0}"#, "weight"),
        (r#"{"weight":10001}"#, "weight"),
        (r#"{"weight":-1}"#, "invalid value"),
        (r#"{"waight":1}"#, "unknown field `waight`"),
        (r#"{"rate":{"per_second":0,"burst":1}}"#, "rate"),
        (r#"{"rate":{"per_second":1e7,"burst":1}}"#, "rate"),
        (r#"{"rate":{"per_second":1,"burst":0}}"#, "burst"),
        (r#"{"rate":{"per_second":1}}"#, "missing field `burst`"),
        (r#"{"max_held":0}"#, "max_held"),
        (r#"{"max_in_flight":0}"#, "max_in_flight"),
        (r#"{"classes":["payout","nothing"]}"#, "nothing"),
        (r#"{"destinations":["9-3"]}"#, "9-3"),
        (r#"{"destinations":["70000"]}"#, "70000"),
        (r#"{"destinations":["-"]}"#, "range"),
        (r#"{"on_removal":"drop"}"#, "unknown variant"),
    ] {
        let error = parse_spec(text).expect_err(text).to_string();
        assert!(error.contains(named), "{text}: {error}");
    }
}

#[test]
fn message_outside_listed_classes_or_destinations_is_rejected() {
    let spec = parse_spec(r#"{"classes":["payout"],"destinations":["3","10-12"]}"#).expect("good");
    assert!(spec.allows("payout", 3).is_ok() && spec.allows("payout", 12).is_ok());
    for (class, destination) in [("update", 3), ("payout", 4), ("payout", 13), ("payout", 9)] {
        assert!(
            spec.allows(class, destination).is_err(),
            "{class} {destination}"
        );
    }
}

#[test]
fn names_are_limited_to_letters_digits_and_punctuation() {
    for good in ["a", "forthside-cash", "Acme.2_b", &"x".repeat(64)] {
        assert!(check_name(good).is_ok(), "{good}");
    }
    for bad in [
        "",
        "-a",
        ".a",
        "a b",
        "a/2",
        "a,b",
        "a=b",
        "ä",
        &"x".repeat(65),
    ] {
        assert!(check_name(bad).is_err(), "{bad}");
    }
}

/// The text is part of the API's response to a body of the wrong type.
#[test]
fn wrong_type_is_reported_under_the_name_of_the_schema() {
    let error =
        serde_json::from_str::<TenantSpec>("\"x\"").expect_err("a string is not a specification");
    assert_eq!(
        error.to_string(),
        "invalid type: string \"x\", expected struct Spec at line 1 column 3"
    );
}
