//! Invalid configurations.

use super::*;

#[test]
fn bad_configuration_ends_the_start_with_one_line() {
    let scene = Scene::new(Vec::new());
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
        let mut config = scene.config.clone();
        *config.pointer_mut(place).expect("is there") = value;
        bad.push(config);
    }
    for config in bad {
        let mut scene = Scene::new(Vec::new());
        scene.config = config;
        let output = scene.command().output().expect("runs");
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
