//! The API's OpenAPI document is valid, and the responses of the API match it.

mod api;
#[allow(unused_imports)]
mod support;

use api::*;
use serde_json::{json, Value};

/// Returns a schema of the document together with the components that it refers to.
fn schema(document: &Value, pointer: &str) -> Value {
    let mut schema = document
        .pointer(pointer)
        .unwrap_or_else(|| panic!("{pointer}"))
        .clone();
    schema["components"] = document["components"].clone();
    schema
}

fn references(value: &Value, found: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            found.extend(fields.get("$ref").and_then(Value::as_str).map(String::from));
            fields.values().for_each(|value| references(value, found));
        }
        Value::Array(items) => items.iter().for_each(|value| references(value, found)),
        _ => {}
    }
}

#[test]
fn openapi_document_is_valid_and_matches_responses() {
    let (mut test_bed, api) = started(Vec::new(), "import = false");
    let document = api.get("/v1/openapi.json").body;
    let parsed = oas3::from_json(document.to_string()).expect("a valid OpenAPI 3.1 document");
    assert!(parsed
        .validate_version()
        .is_ok_and(|version| version.major == 3 && version.minor == 1));
    // All references resolve, and all operations have distinct ids and describe their responses.
    let mut found = Vec::new();
    references(&document, &mut found);
    assert!(found.len() > 20);
    for reference in found {
        let pointer = reference
            .strip_prefix('#')
            .expect("a reference within the document");
        assert!(document.pointer(pointer).is_some(), "{reference}");
    }
    let mut operations = std::collections::BTreeSet::new();
    for (path, item) in document["paths"].as_object().expect("paths") {
        for (method, operation) in item.as_object().expect("operations") {
            let name = operation["operationId"].as_str().expect("a name");
            assert!(
                operations.insert(name.to_string()),
                "duplicate operationId {name}"
            );
            assert!(
                operation["summary"]
                    .as_str()
                    .or(operation["description"].as_str())
                    .is_some(),
                "{name}"
            );
            let declared = operation["parameters"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            for part in path.split('/').filter_map(|part| part.strip_prefix('{')) {
                let part = part.trim_end_matches('}');
                assert!(
                    declared
                        .iter()
                        .any(|p| p["name"] == part && p["in"] == "path"),
                    "{method} {path}"
                );
            }
            let responses = operation["responses"].as_object().expect("responses");
            assert!(
                responses.keys().any(|status| status.starts_with('2')),
                "{method} {path}"
            );
        }
    }
    assert_eq!(operations.len(), 30);
    // Responses match the document's schemas, and a request that matches its schema is accepted.
    let is = |name: &str, value: &Value| {
        let schema = schema(&document, &format!("/components/schemas/{name}"));
        let validator = jsonschema::draft202012::new(&schema).expect("a schema");
        let errors: Vec<String> = validator
            .iter_errors(value)
            .map(|e| e.to_string())
            .collect();
        assert!(errors.is_empty(), "{name}: {errors:?} in {value}");
    };
    let body = json!({"name": "acme", "spec": {"weight": 9, "rate": {"per_second": 1.5, "burst": 3}, "max_held": 2,
        "max_in_flight": 1, "classes": ["payout"], "destinations": ["1", "4-9"], "on_removal": "refuse"}});
    is("NewTenant", &body);
    let json_body = [("content-type", "application/json")];
    let made = api.send("POST", "/v1/tenants", &json_body, &body.to_string());
    assert_eq!(made.status, 201);
    is("Tenant", &made.body);
    is("Tenant", &api.change("POST", "acme/pause").body);
    is("TenantPage", &api.get("/v1/tenants?limit=1").body);
    is("TenantUsage", &api.get("/v1/tenants/acme/usage").body);
    is("AuditPage", &api.get("/v1/audit").body);
    is("RegistryStatus", &api.get("/v1/status").body);
    is("Problem", &api.get("/v1/tenants/none").body);
    let stale = api.patch("acme", "\"1.9\"", json!({})).expect("an answer");
    is("Problem", &stale.body);
    assert_eq!(stale.status, 412);
    is("Problem", &api.create("a b", json!({})).body);
    // The schemas reject invalid values, so that the checks above are not vacuous.
    let refuses = |name: &str, value: &Value| {
        let schema = schema(&document, &format!("/components/schemas/{name}"));
        assert!(
            !jsonschema::draft202012::new(&schema)
                .expect("a schema")
                .is_valid(value),
            "{name}: {value}"
        );
    };
    refuses("Tenant", &json!({"name": "acme"}));
    refuses("NewTenant", &json!({"name": "acme", "spec": {"weight": 0}}));
    refuses("Problem", &json!({"type": 7}));
    test_bed.kill();
}
