//! Tables of undeliverable messages and of batches.

use serde_json::Value;

use crate::output::{array_items, cell, fields_table, objects_table, rows_table};

/// The fields of a record that a list shows.
const RECORD_FIELDS: [&str; 12] = [
    "id",
    "state",
    "version",
    "holder",
    "message",
    "tenant",
    "class",
    "destination",
    "reason",
    "may_have_run",
    "resends",
    "ended_at",
];

/// The fields of a batch that a list shows.
const BATCH_FIELDS: [&str; 10] = [
    "name",
    "state",
    "version",
    "by",
    "found",
    "may_go",
    "sent",
    "delivered",
    "failed",
    "skipped",
];

/// The field with a record's attempts, and the fields of an attempt that are shown.
const ATTEMPTS: &str = "attempts";
const ATTEMPT_FIELDS: [&str; 5] = ["at", "host", "outcome", "may_have_run", "resend"];
/// The field with a record's attestations, and the fields of an attestation that are shown.
const ATTESTATIONS: &str = "statements";
const ATTESTATION_FIELDS: [&str; 4] = ["at", "operator", "says", "resends"];

/// Formats records, one per line.
pub fn records_table<'a>(records: impl IntoIterator<Item = &'a Value>) -> String {
    objects_table(&RECORD_FIELDS, records)
}

/// Formats a record with its attempts and attestations.
pub fn record_history(record: &Value) -> String {
    let mut plain = record.clone();
    if let Some(fields) = plain.as_object_mut() {
        fields.remove(ATTEMPTS);
        fields.remove(ATTESTATIONS);
    }
    let section = |name: &str, fields: &[&str]| {
        let table = objects_table(fields, array_items(&record[name]));
        format!("\n{name}\n{table}")
    };
    fields_table(&plain)
        + &section(ATTEMPTS, &ATTEMPT_FIELDS)
        + &section(ATTESTATIONS, &ATTESTATION_FIELDS)
}

/// Formats the numbers of records by the values of a field.
pub fn counts_table<'a>(field: &str, counts: impl IntoIterator<Item = &'a Value>) -> String {
    let row = |count: &Value| [cell(count.get("value")), cell(count.get("records"))];
    rows_table([field, "records"], counts.into_iter().map(row))
}

/// Formats batches, one per line.
pub fn batches_table<'a>(batches: impl IntoIterator<Item = &'a Value>) -> String {
    objects_table(&BATCH_FIELDS, batches)
}
