//! Answers as tables for people; `--json` prints them as they came.

use comfy_table::{presets, ContentArrangement, Table};
use serde_json::Value;

fn table(head: &[impl AsRef<str>]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(head.iter().map(|head| head.as_ref().to_uppercase()));
    table
}

/// A value as it stands in a cell.
fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(items)) if items.is_empty() => "-".into(),
        Some(Value::Array(items)) => items
            .iter()
            .map(|item| cell(Some(item)))
            .collect::<Vec<_>>()
            .join(","),
        Some(other) => other.to_string(),
    }
}

fn rate(spec: &Value) -> String {
    match spec.get("rate") {
        Some(rate) if rate.is_object() => {
            format!(
                "{}/s+{}",
                cell(rate.get("per_second")),
                cell(rate.get("burst"))
            )
        }
        _ => "-".into(),
    }
}

/// Tenants, a line each.
pub fn tenants<'a>(items: impl IntoIterator<Item = &'a Value>) -> String {
    let mut table = table(&[
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
    ]);
    for tenant in items {
        let spec = &tenant["spec"];
        let secrets: Vec<Value> = tenant["secrets"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|secret| secret["id"].clone())
            .collect();
        table.add_row([
            cell(tenant.get("name")),
            cell(tenant.get("state")),
            cell(tenant.get("version")),
            cell(spec.get("weight")),
            rate(spec),
            cell(spec.get("max_held")),
            cell(spec.get("max_in_flight")),
            cell(spec.get("classes")),
            cell(spec.get("destinations")),
            cell(Some(&Value::Array(secrets))),
        ]);
    }
    text(&table)
}

/// What passed for a tenant, and for those of its name that drain.
pub fn usage(usage: &Value) -> String {
    let fields = [
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
    let mut table = table(&fields.map(|field| {
        if field == "in_flight" {
            "in flight"
        } else {
            field
        }
    }));
    let draining = usage["draining"].as_array().into_iter().flatten();
    for one in std::iter::once(usage).chain(draining) {
        table.add_row(fields.map(|field| cell(one.get(field))));
    }
    text(&table)
}

/// Changes, a line each.
pub fn audit<'a>(items: impl IntoIterator<Item = &'a Value>) -> String {
    let mut table = table(&[
        "seq",
        "at",
        "actor",
        "role",
        "action",
        "tenant",
        "version",
        "what changed",
    ]);
    for entry in items {
        let version = entry["to"].get("version").or(entry["from"].get("version"));
        table.add_row([
            cell(entry.get("seq")),
            cell(entry.get("at")),
            cell(entry.get("actor")),
            cell(entry.get("role")),
            cell(entry.get("action")),
            cell(entry.get("tenant")),
            cell(version),
            changes(&entry["from"], &entry["to"]),
        ]);
    }
    text(&table)
}

/// The fields of a specification that differ: `weight 100 > 300`.
fn changes(from: &Value, to: &Value) -> String {
    let (from, to) = (&from["spec"], &to["spec"]);
    let (Some(before), Some(after)) = (from.as_object(), to.as_object()) else {
        return "-".into();
    };
    let names: std::collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changed = names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name));
    let changed: Vec<String> = changed
        .map(|name| {
            format!(
                "{name} {} > {}",
                cell(before.get(name)),
                cell(after.get(name))
            )
        })
        .collect();
    if changed.is_empty() {
        "-".into()
    } else {
        changed.join("; ")
    }
}

/// Undeliverable messages, a line each.
pub fn records<'a>(items: impl IntoIterator<Item = &'a Value>) -> String {
    let fields = [
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
    let mut table = table(&fields.map(|field| field.replace('_', " ")));
    for record in items {
        table.add_row(fields.map(|field| cell(record.get(field))));
    }
    text(&table)
}

/// An undeliverable message with its whole story.
pub fn story(record: &Value) -> String {
    let mut plain = record.clone();
    if let Some(fields) = plain.as_object_mut() {
        fields.remove("attempts");
        fields.remove("statements");
    }
    let mut out = fields(&plain);
    for (name, columns) in [
        (
            "attempts",
            &["at", "host", "outcome", "may_have_run", "resend"][..],
        ),
        ("statements", &["at", "operator", "says", "resends"]),
    ] {
        let items = record[name].as_array().into_iter().flatten();
        let head: Vec<String> = columns
            .iter()
            .map(|column| column.replace('_', " "))
            .collect();
        let mut table = table(&head);
        for item in items {
            table.add_row(columns.iter().map(|column| cell(item.get(column))));
        }
        out += &format!("\n{name}\n{}", text(&table));
    }
    out
}

/// Records counted by a field.
pub fn counts<'a>(by: &str, items: impl IntoIterator<Item = &'a Value>) -> String {
    let mut table = table(&[by, "records"]);
    for count in items {
        table.add_row([cell(count.get("value")), cell(count.get("records"))]);
    }
    text(&table)
}

/// Batches, a line each.
pub fn batches<'a>(items: impl IntoIterator<Item = &'a Value>) -> String {
    let fields = [
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
    let mut table = table(&fields.map(|field| field.replace('_', " ")));
    for batch in items {
        table.add_row(fields.map(|field| cell(batch.get(field))));
    }
    text(&table)
}

/// An object, a line a field.
pub fn fields(value: &Value) -> String {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    for (name, value) in value.as_object().into_iter().flatten() {
        table.add_row([name.replace('_', " "), cell(Some(value))]);
    }
    text(&table)
}

fn text(table: &Table) -> String {
    let plain = |line: String| {
        line.strip_prefix(' ')
            .unwrap_or(&line)
            .trim_end()
            .to_string()
            + "\n"
    };
    table.lines().map(plain).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn tables_show_what_is_set_and_leave_out_what_is_not() {
        let tenant = json!({"name": "acme", "state": "active", "version": "1.2", "secrets": [{"id": "a"}, {"id": "b"}],
            "spec": {"weight": 100, "rate": {"per_second": 2.5, "burst": 9}, "classes": ["payout"]}});
        let shown = tenants([&tenant]);
        let lines: Vec<Vec<&str>> = shown
            .lines()
            .map(|line| line.split_whitespace().collect())
            .collect();
        assert_eq!(lines[0][..4], ["NAME", "STATE", "VERSION", "WEIGHT"]);
        assert_eq!(
            lines[1],
            ["acme", "active", "1.2", "100", "2.5/s+9", "-", "-", "payout", "-", "a,b"]
        );
    }

    #[test]
    fn the_audit_log_shows_what_changed() {
        let spec = |weight: u32| json!({"version": "1.1", "spec": {"weight": weight, "on_removal": "finish"}});
        assert_eq!(changes(&spec(100), &spec(300)), "weight 100 > 300");
        assert_eq!(changes(&spec(100), &spec(100)), "-");
        assert_eq!(changes(&Value::Null, &spec(100)), "-");
        let more = json!({"spec": {"weight": 100, "on_removal": "finish", "max_held": 3}});
        assert_eq!(changes(&spec(100), &more), "max_held - > 3");
    }
}
