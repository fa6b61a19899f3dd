//! Output as tables for people, or as JSON for scripts.

use comfy_table::{presets, ContentArrangement, Table};
use serde_json::Value;

/// The text of a cell without a value.
pub const NO_VALUE: &str = "-";

/// How responses are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// As tables.
    Table,
    /// As received, one JSON document per line.
    Json,
}

impl OutputFormat {
    /// Prints a value, formatted by `table` in [`OutputFormat::Table`].
    pub fn print(self, value: &Value, table: impl FnOnce(&Value) -> String) {
        match self {
            OutputFormat::Json => println!("{value}"),
            OutputFormat::Table => print!("{}", table(value)),
        }
    }
}

/// The items of a JSON array; none if the value is not an array.
pub fn array_items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Formats a value as the text of a cell.
pub fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => NO_VALUE.into(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(items)) if items.is_empty() => NO_VALUE.into(),
        Some(Value::Array(items)) => items
            .iter()
            .map(|item| cell(Some(item)))
            .collect::<Vec<_>>()
            .join(","),
        Some(other) => other.to_string(),
    }
}

/// Creates a table without borders, as wide as its content.
fn plain_table() -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    table
}

/// The heading of a field's column.
fn heading(field: &str) -> String {
    field.replace('_', " ")
}

/// Formats a table with headings and one line per row.
pub fn rows_table<const COLUMNS: usize>(
    headings: [&str; COLUMNS],
    rows: impl IntoIterator<Item = [String; COLUMNS]>,
) -> String {
    let mut table = plain_table();
    table.set_header(headings.map(str::to_uppercase));
    table.add_rows(rows);
    text(&table)
}

/// Formats a table with one line per object and one column per field.
pub fn objects_table<'a>(fields: &[&str], items: impl IntoIterator<Item = &'a Value>) -> String {
    let mut table = plain_table();
    table.set_header(fields.iter().map(|field| heading(field).to_uppercase()));
    for item in items {
        table.add_row(fields.iter().map(|field| cell(item.get(field))));
    }
    text(&table)
}

/// Formats an object as a table with one line per field.
pub fn fields_table(value: &Value) -> String {
    let mut table = plain_table();
    for (name, value) in value.as_object().into_iter().flatten() {
        table.add_row([heading(name), cell(Some(value))]);
    }
    text(&table)
}

/// Renders a table without the padding that the library adds around each line.
fn text(table: &Table) -> String {
    let trimmed = |line: String| {
        let line = line.strip_prefix(' ').unwrap_or(&line).trim_end();
        format!("{line}\n")
    };
    table.lines().map(trimmed).collect()
}
