//! The audit log: arguments, request and table. The doc comments on options are the help texts.

use std::collections::BTreeSet;

use clap::Args;
use serde_json::Value;

use crate::context::CommandContext;
use crate::error::CommandError;
use crate::input::path_segment;
use crate::output::{array_items, cell, rows_table, NO_VALUE};

/// Path of the audit log.
const AUDIT_PATH: &str = "/v1/audit";

/// The headings of the audit log's table.
const HEADINGS: [&str; 8] = [
    "seq",
    "at",
    "actor",
    "role",
    "action",
    "tenant",
    "version",
    "what changed",
];

/// Selects the entries to show.
#[derive(Args)]
pub struct AuditArguments {
    /// Only entries of this tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// Maximum number of entries.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=1000))]
    pub limit: u16,
}

/// Prints the newest entries of the audit log.
///
/// # Errors
/// The tenant's name is not valid, or a request failed.
pub async fn run(context: &CommandContext, arguments: &AuditArguments) -> Result<(), CommandError> {
    let filter = match &arguments.tenant {
        Some(tenant) => format!("tenant={}&", path_segment(tenant)?),
        None => String::new(),
    };
    let list = format!("{AUDIT_PATH}?{filter}");
    let entries = context
        .list_items(&list, usize::from(arguments.limit))
        .await?;
    context.print(&Value::from(entries), |entries| {
        audit_table(array_items(entries))
    });
    Ok(())
}

/// Formats entries, one per line.
fn audit_table<'a>(entries: impl IntoIterator<Item = &'a Value>) -> String {
    let row = |entry: &Value| {
        let version = entry["to"].get("version").or(entry["from"].get("version"));
        [
            cell(entry.get("seq")),
            cell(entry.get("at")),
            cell(entry.get("actor")),
            cell(entry.get("role")),
            cell(entry.get("action")),
            cell(entry.get("tenant")),
            cell(version),
            changed_fields(&entry["from"], &entry["to"]),
        ]
    };
    rows_table(HEADINGS, entries.into_iter().map(row))
}

/// Lists the fields of a specification that differ, with the old and the new value: `weight 100 > 300`.
fn changed_fields(from: &Value, to: &Value) -> String {
    let (Some(before), Some(after)) = (from["spec"].as_object(), to["spec"].as_object()) else {
        return NO_VALUE.into();
    };
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changes: Vec<String> = names
        .into_iter()
        .map(|name| (name, before.get(name), after.get(name)))
        .filter(|(_, old, new)| old != new)
        .map(|(name, old, new)| format!("{name} {} > {}", cell(old), cell(new)))
        .collect();
    if changes.is_empty() {
        return NO_VALUE.into();
    }
    changes.join("; ")
}

#[cfg(test)]
mod tests;
