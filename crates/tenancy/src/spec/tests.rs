use super::*;

fn spec(text: &str) -> Result<TenantSpec, String> {
    let spec: TenantSpec = serde_json::from_str(text).map_err(|e| e.to_string())?;
    spec.check(&["payout".into(), "update".into()])
        .map_err(|e| e.to_string())
        .map(|()| spec)
}

#[test]
fn what_is_absent_has_its_default() {
    assert_eq!(spec("{}"), Ok(TenantSpec::default()));
    let text = serde_json::to_string(&TenantSpec::default()).expect("JSON");
    assert_eq!(text, r#"{"weight":100,"on_removal":"finish"}"#);
}

#[test]
fn values_out_of_bounds_are_named() {
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
        let error = spec(text).expect_err(text);
        assert!(error.contains(named), "{text}: {error}");
    }
}

#[test]
fn classes_and_destinations_are_kept_to() {
    let spec = spec(r#"{"classes":["payout"],"destinations":["3","10-12"]}"#).expect("good");
    assert!(spec.allows("payout", 3).is_ok() && spec.allows("payout", 12).is_ok());
    for (class, destination) in [("update", 3), ("payout", 4), ("payout", 13), ("payout", 9)] {
        assert!(
            spec.allows(class, destination).is_err(),
            "{class} {destination}"
        );
    }
}

#[test]
fn names_are_plain() {
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
