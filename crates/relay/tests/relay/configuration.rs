//! Invalid configurations.

use super::*;

#[test]
fn invalid_configuration_fails_startup_with_one_line() {
    let test_bed = TestBed::new(Vec::new());
    let mut bad = vec![Value::Null, serde_json::json!({}), serde_json::json!([1])];
    for (place, value) in [
        ("/seed", Value::from("xyz")),
        ("/listen", Value::from("nowhere")),
        ("/limits/sockets", Value::from(3)),
        ("/settings/services", serde_json::json!([])),
        ("/settings/limits/dialTimeout", Value::from("soon")),
        ("/settings/familyInfo/callsOut", Value::from(5000)),
        ("/known/hosts", serde_json::json!([{"host": "a"}])),
    ] {
        let mut config = test_bed.config.clone();
        *config.pointer_mut(place).expect("an existing key") = value;
        bad.push(config);
    }
    for config in bad {
        let mut test_bed = TestBed::new(Vec::new());
        test_bed.config = config;
        let output = test_bed.command().output().expect("runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && text.lines().count() == 1,
            "{text}"
        );
        assert!(
            text.starts_with("madderpitch: ") && !text.contains("panicked"),
            "{text}"
        );
    }
}
