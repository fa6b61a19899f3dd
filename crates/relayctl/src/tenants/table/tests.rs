use serde_json::json;

use super::*;

#[test]
fn unset_fields_are_dashes_in_the_table() {
    let tenant = json!({"name": "acme", "state": "active", "version": "1.2", "secrets": [{"id": "a"}, {"id": "b"}],
        "spec": {"weight": 100, "rate": {"per_second": 2.5, "burst": 9}, "classes": ["payout"]}});
    let table = tenants_table([&tenant]);
    let lines: Vec<Vec<&str>> = table
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(lines[0][..4], ["NAME", "STATE", "VERSION", "WEIGHT"]);
    assert_eq!(
        lines[1],
        ["acme", "active", "1.2", "100", "2.5/s+9", "-", "-", "payout", "-", "a,b"]
    );
}
