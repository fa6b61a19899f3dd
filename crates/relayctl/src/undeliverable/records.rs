//! Records of undeliverable messages: arguments and requests.

use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;

use clap::{Args, ValueEnum};
use serde_json::{json, Value};

use super::filter::FilterArguments;
use super::table;
use crate::client::{ApiRequest, JSON};
use crate::context::{CommandContext, MAX_PAGE_ITEMS};
use crate::error::CommandError;
use crate::input::choice_name;
use crate::output::{array_items, fields_table};

/// Path of the records.
const RECORDS_PATH: &str = "/v1/undeliverable";

/// The record that a command changes.
#[derive(Args)]
pub struct RecordArguments {
    /// Record number.
    pub id: u64,
    /// Apply the change only to this version; to the current one if absent.
    #[arg(long)]
    pub if_version: Option<u32>,
}

/// The field by which records are counted.
#[derive(Clone, Copy, ValueEnum)]
pub enum CountGroup {
    /// The destination.
    Destination,
    /// The class.
    Class,
    /// The reason.
    Reason,
    /// The tenant.
    Tenant,
    /// The state.
    State,
}

/// What an operator attests about the execution of a message.
#[derive(Clone, Copy, ValueEnum)]
pub enum ExecutionClaim {
    /// The message took effect.
    Applied,
    /// The message did not take effect, and will not.
    NotApplied,
    /// This cannot be determined.
    Unknown,
}

/// Prints the newest records that match a filter.
///
/// # Errors
/// A value of the filter is not valid, or a request failed.
pub async fn list(
    context: &CommandContext,
    filter: &FilterArguments,
    limit: u32,
) -> Result<(), CommandError> {
    let list = format!("{RECORDS_PATH}?{}", filter.query()?);
    let records = context.list_items(&list, limit as usize).await?;
    context.print(&Value::from(records), |records| {
        table::records_table(array_items(records))
    });
    Ok(())
}

/// Writes the records that match a filter, one JSON object per line. Only one page is in memory at a time, so that an
/// export of any length takes little memory.
///
/// # Errors
/// The file exists already or cannot be written, a value of the filter is not valid, or a request failed.
pub async fn export(
    context: &CommandContext,
    filter: &FilterArguments,
    to: Option<PathBuf>,
) -> Result<(), CommandError> {
    let unwritable =
        |e: io::Error| CommandError::InvalidInput(format!("cannot write the export: {e}"));
    let mut output: Box<dyn Write> = match to {
        Some(path) => Box::new(File::create_new(path).map_err(unwritable)?),
        None => Box::new(io::stdout()),
    };
    let list = format!("{RECORDS_PATH}?{}limit={MAX_PAGE_ITEMS}", filter.query()?);
    let mut cursor = String::new();
    loop {
        let page = context.client.get(format!("{list}{cursor}")).await?;
        let lines: String = array_items(&page.body["items"])
            .map(|record| format!("{record}\n"))
            .collect();
        output.write_all(lines.as_bytes()).map_err(unwritable)?;
        let Some(next) = page.body["next"].as_str() else {
            return output.flush().map_err(unwritable);
        };
        cursor = format!("&cursor={next}");
    }
}

/// Prints a record with its attempts and attestations.
///
/// # Errors
/// A request failed.
pub async fn show(context: &CommandContext, id: u64) -> Result<(), CommandError> {
    let record = context.client.get(record_path(id)).await?;
    context.print(&record.body, table::record_history);
    Ok(())
}

/// Prints the number of records for each value of a field.
///
/// # Errors
/// A request failed.
pub async fn show_counts(context: &CommandContext, by: CountGroup) -> Result<(), CommandError> {
    let field = choice_name(by);
    let path = format!("{RECORDS_PATH}/counts?by={field}");
    let counts = context.client.get(path).await?.body["items"].take();
    context.print(&counts, |counts| {
        table::counts_table(&field, array_items(counts))
    });
    Ok(())
}

/// Prints the state of the store.
///
/// # Errors
/// A request failed.
pub async fn show_status(context: &CommandContext) -> Result<(), CommandError> {
    let status = context.client.get(format!("{RECORDS_PATH}/status")).await?;
    context.print(&status.body, fields_table);
    Ok(())
}

/// Requests a change that has no arguments of its own, and prints the changed record.
///
/// # Errors
/// A request failed.
pub async fn change(
    context: &CommandContext,
    record: &RecordArguments,
    action: &str,
) -> Result<(), CommandError> {
    let request = ApiRequest::post(format!("{}/{action}", record_path(record.id)));
    send_change(context, record, request).await
}

/// Records an operator's attestation whether a message took effect, and prints the changed record.
///
/// # Errors
/// A request failed.
pub async fn attest(
    context: &CommandContext,
    record: &RecordArguments,
    claim: ExecutionClaim,
) -> Result<(), CommandError> {
    let request = ApiRequest::post(format!("{}/attest", record_path(record.id)))
        .body(JSON, json!({"says": choice_name(claim)}));
    send_change(context, record, request).await
}

async fn send_change(
    context: &CommandContext,
    record: &RecordArguments,
    request: ApiRequest,
) -> Result<(), CommandError> {
    let path = record_path(record.id);
    let changed = context
        .change_version(&path, record.if_version, request)
        .await?;
    context.print(&changed.body, |record| table::records_table([record]));
    Ok(())
}

fn record_path(id: u64) -> String {
    format!("{RECORDS_PATH}/{id}")
}
