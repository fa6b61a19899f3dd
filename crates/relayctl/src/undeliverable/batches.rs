//! Named batches of undeliverable messages to resend: arguments and requests.

use clap::{Args, Subcommand};
use serde_json::{json, Map, Value};

use super::filter::FilterArguments;
use super::table::batches_table;
use crate::client::{ApiRequest, JSON};
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::input::path_segment;
use crate::output::{array_items, fields_table};

/// Path of the batches.
const BATCHES_PATH: &str = "/v1/undeliverable-batches";
/// The only state of records that a batch may select.
const OPEN_STATE: &str = "open";

/// The commands on batches.
#[derive(Subcommand)]
pub enum BatchCommand {
    /// List batches.
    List,
    /// Show a batch.
    Show {
        /// Batch name.
        name: String,
    },
    /// Create a batch and count the records that it would resend; nothing is sent before it is run.
    Plan {
        /// Batch name.
        name: String,
        /// Selects the records, among those that are open now.
        #[command(flatten)]
        filter: FilterArguments,
        /// Maximum number of records per second, 0.01 to 1000.
        #[arg(long, default_value_t = 1.0)]
        per_second: f64,
        /// Maximum number of records in flight at once, 1 to 64.
        #[arg(long, default_value_t = 1)]
        at_once: u32,
        /// Number of failures that stop the batch automatically, among the last twice as many records.
        #[arg(long, default_value_t = 5)]
        stop_after: u32,
    },
    /// Run a batch, or continue it.
    Run(BatchArguments),
    /// Pause a batch: no further records are sent for now.
    Pause(BatchArguments),
    /// Cancel a batch for good: no further records are sent.
    Cancel(BatchArguments),
}

/// The batch that a command changes.
#[derive(Args)]
pub struct BatchArguments {
    /// Batch name.
    pub name: String,
    /// Apply the change only to this version; to the current one if absent.
    #[arg(long)]
    pub if_version: Option<u32>,
}

/// Runs a command on batches.
///
/// # Errors
/// The arguments are not valid, or a request failed.
pub async fn run(context: &CommandContext, command: BatchCommand) -> Result<(), CommandError> {
    match command {
        BatchCommand::List => list(context).await,
        BatchCommand::Show { name } => show(context, &name).await,
        BatchCommand::Plan {
            name,
            filter,
            per_second,
            at_once,
            stop_after,
        } => {
            let filter = open_records(&filter)?;
            let body = json!({"name": path_segment(&name)?, "filter": filter, "per_second": per_second,
                "at_once": at_once, "stop_after": stop_after});
            plan(context, body).await
        }
        BatchCommand::Run(batch) => change(context, &batch, "run").await,
        BatchCommand::Pause(batch) => change(context, &batch, "pause").await,
        BatchCommand::Cancel(batch) => change(context, &batch, "cancel").await,
    }
}

async fn list(context: &CommandContext) -> Result<(), CommandError> {
    let batches = context.client.get(BATCHES_PATH).await?.body["items"].take();
    context.print(&batches, |batches| batches_table(array_items(batches)));
    Ok(())
}

async fn show(context: &CommandContext, name: &str) -> Result<(), CommandError> {
    let batch = context.client.get(batch_path(name)?).await?;
    context.print(&batch.body, fields_table);
    Ok(())
}

async fn plan(context: &CommandContext, body: Value) -> Result<(), CommandError> {
    let request = ApiRequest::post(BATCHES_PATH).body(JSON, body);
    let planned = context.client.send(request).await?;
    context.print(&planned.body, fields_table);
    Ok(())
}

async fn change(
    context: &CommandContext,
    batch: &BatchArguments,
    action: &str,
) -> Result<(), CommandError> {
    let path = batch_path(&batch.name)?;
    let request = ApiRequest::post(format!("{path}/{action}"));
    let changed = context
        .change_version(&path, batch.if_version, request)
        .await?;
    context.print(&changed.body, |batch| batches_table([batch]));
    Ok(())
}

/// The fields of a batch's filter. The state `open` is implied and not sent.
fn open_records(filter: &FilterArguments) -> Result<Map<String, Value>, CommandError> {
    let mut fields = filter.fields();
    match fields.remove("state") {
        Some(state) if state != OPEN_STATE => Err(CommandError::InvalidInput(
            "a batch selects open records only".into(),
        )),
        _ => Ok(fields),
    }
}

fn batch_path(name: &str) -> Result<String, CommandError> {
    Ok(format!("{BATCHES_PATH}/{}", path_segment(name)?))
}
