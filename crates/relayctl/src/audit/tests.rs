use serde_json::json;

use super::*;

#[test]
fn changed_fields_show_old_and_new_values() {
    let spec =
        |weight: u32| json!({"version": "1.1", "spec": {"weight": weight, "on_removal": "finish"}});
    assert_eq!(changed_fields(&spec(100), &spec(300)), "weight 100 > 300");
    assert_eq!(changed_fields(&spec(100), &spec(100)), "-");
    assert_eq!(changed_fields(&Value::Null, &spec(100)), "-");
    let more = json!({"spec": {"weight": 100, "on_removal": "finish", "max_held": 3}});
    assert_eq!(changed_fields(&spec(100), &more), "max_held - > 3");
}
