//! Tables of tenants and of their usage.

use serde_json::Value;

use crate::output::{array_items, cell, objects_table, rows_table, NO_VALUE};

/// The headings of a list of tenants.
const TENANT_HEADINGS: [&str; 10] = [
    "name",
    "state",
    "version",
    "weight",
    "rate",
    "max held",
    "max in flight",
    "classes",
    "destinations",
    "secrets",
];

/// The fields of a tenant's usage that are shown.
const USAGE_FIELDS: [&str; 9] = [
    "version",
    "taken",
    "delivered",
    "refused",
    "failed",
    "rejected",
    "held",
    "in_flight",
    "owed",
];

/// Formats tenants, one per line.
pub fn tenants_table<'a>(tenants: impl IntoIterator<Item = &'a Value>) -> String {
    let row = |tenant: &Value| {
        let spec = &tenant["spec"];
        let secret_ids = array_items(&tenant["secrets"]).map(|secret| secret["id"].clone());
        [
            cell(tenant.get("name")),
            cell(tenant.get("state")),
            cell(tenant.get("version")),
            cell(spec.get("weight")),
            rate_cell(spec),
            cell(spec.get("max_held")),
            cell(spec.get("max_in_flight")),
            cell(spec.get("classes")),
            cell(spec.get("destinations")),
            cell(Some(&Value::Array(secret_ids.collect()))),
        ]
    };
    rows_table(TENANT_HEADINGS, tenants.into_iter().map(row))
}

/// Formats a rate and its burst: `2.5/s+9`.
fn rate_cell(spec: &Value) -> String {
    match spec.get("rate") {
        Some(rate) if rate.is_object() => {
            let per_second = cell(rate.get("per_second"));
            format!("{per_second}/s+{}", cell(rate.get("burst")))
        }
        _ => NO_VALUE.into(),
    }
}

/// Formats a tenant's usage, and that of earlier tenants with the same name that are still draining.
pub fn usage_table(usage: &Value) -> String {
    let draining = array_items(&usage["draining"]);
    objects_table(&USAGE_FIELDS, std::iter::once(usage).chain(draining))
}

#[cfg(test)]
mod tests;
