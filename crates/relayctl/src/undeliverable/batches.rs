//! Batches of undeliverable messages that are resent under one name: arguments and requests.

use clap::{Args, Subcommand};
use serde_json::{json, Map, Value};

use super::filter::FilterArguments;
use super::table::batches_table;
use crate::client::{ApiRequest, JSON};
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::input::path_segment;
use crate::output::{array_items, fields_table};

/// The batches.
const BATCHES_PATH: &str = "/v1/undeliverable-batches";
/// The only state whose records a batch may be of.
const OPEN_STATE: &str = "open";

/// The commands on batches.
#[derive(Subcommand)]
pub enum BatchCommand {
    /// List batches.
    List,
    /// Show a batch.
    Show {
        /// Its name.
        name: String,
    },
    /// Count what a batch would find, and keep it; nothing is sent before it is run.
    Plan {
        /// Its name.
        name: String,
        /// The records, of those that are open now.
        #[command(flatten)]
        filter: FilterArguments,
        /// Records a second at most, 0.01 to 1000.
        #[arg(long, default_value_t = 1.0)]
        per_second: f64,
        /// Records out at once at most, 1 to 64.
        #[arg(long, default_value_t = 1)]
        at_once: u32,
        /// It stops by itself once so many of the last twice as many failed.
        #[arg(long, default_value_t = 5)]
        stop_after: u32,
    },
    /// Run a batch, or let one go on.
    Run(BatchArguments),
    /// Send nothing new of a batch for now.
    Pause(BatchArguments),
    /// Send nothing more of a batch, for good.
    Cancel(BatchArguments),
}

/// The batch that a command changes.
#[derive(Args)]
pub struct BatchArguments {
    /// Its name.
    pub name: String,
    /// Only in this version; else in the one that it has.
    #[arg(long)]
    pub if_version: Option<u32>,
}

/// Runs a command on batches.
///
/// # Errors
/// The arguments are wrong, or a request failed.
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

/// The fields of a batch's filter. The state is implied, so that it is not sent.
fn open_records(filter: &FilterArguments) -> Result<Map<String, Value>, CommandError> {
    let mut fields = filter.fields();
    match fields.remove("state") {
        Some(state) if state != OPEN_STATE => Err(CommandError::InvalidInput(
            "a batch is of open records".into(),
        )),
        _ => Ok(fields),
    }
}

fn batch_path(name: &str) -> Result<String, CommandError> {
    Ok(format!("{BATCHES_PATH}/{}", path_segment(name)?))
}
