//! Undeliverable messages: the commands on records and on batches of records. The doc comments on commands and options
//! are the help texts.

mod batches;
mod filter;
mod records;
mod table;

use std::path::PathBuf;

use clap::Subcommand;

use crate::context::CommandContext;
use crate::error::CommandError;

use batches::BatchCommand;
use filter::FilterArguments;
use records::{CountGroup, ExecutionClaim, RecordArguments};

/// The commands on undeliverable messages.
#[derive(Subcommand)]
pub enum UndeliverableCommand {
    /// List records, newest first.
    List {
        /// Selects the records.
        #[command(flatten)]
        filter: FilterArguments,
        /// Maximum number of records.
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        limit: u32,
    },
    /// Print records with their full history, one JSON object per line, newest first.
    Export {
        /// Selects the records.
        #[command(flatten)]
        filter: FilterArguments,
        /// File to write to, which must not exist yet; standard output if absent.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Show a record with its full history.
    Show {
        /// Record number.
        id: u64,
    },
    /// Count records.
    Counts {
        /// Field to count by.
        #[arg(long, value_enum, default_value = "reason")]
        by: CountGroup,
    },
    /// Show the state of the store.
    Status,
    /// Claim a record: until the claim ends, nobody else may change it.
    Claim(RecordArguments),
    /// Release a claim.
    Release(RecordArguments),
    /// Resend a message, if the rules for it allow that now.
    Resend(RecordArguments),
    /// Ask the partner whether the message took effect.
    Ask(RecordArguments),
    /// Attest whether a message took effect; two operators who agree count as the partner's answer.
    Attest {
        /// The record to attest.
        #[command(flatten)]
        record: RecordArguments,
        /// Whether the message took effect.
        #[arg(long = "says", value_name = "SAYS", value_enum)]
        claim: ExecutionClaim,
    },
    /// Close a record without further action.
    Discard(RecordArguments),
    /// Resend many records as a named batch.
    #[command(subcommand)]
    Batch(BatchCommand),
}

/// Runs a command on undeliverable messages.
///
/// # Errors
/// The arguments are not valid, or a request failed.
pub async fn run(
    context: &CommandContext,
    command: UndeliverableCommand,
) -> Result<(), CommandError> {
    match command {
        UndeliverableCommand::List { filter, limit } => {
            records::list(context, &filter, limit).await
        }
        UndeliverableCommand::Export { filter, to } => records::export(context, &filter, to).await,
        UndeliverableCommand::Show { id } => records::show(context, id).await,
        UndeliverableCommand::Counts { by } => records::show_counts(context, by).await,
        UndeliverableCommand::Status => records::show_status(context).await,
        UndeliverableCommand::Claim(record) => records::change(context, &record, "claim").await,
        UndeliverableCommand::Release(record) => records::change(context, &record, "release").await,
        UndeliverableCommand::Resend(record) => records::change(context, &record, "resend").await,
        UndeliverableCommand::Ask(record) => records::change(context, &record, "ask").await,
        UndeliverableCommand::Discard(record) => records::change(context, &record, "discard").await,
        UndeliverableCommand::Attest { record, claim } => {
            records::attest(context, &record, claim).await
        }
        UndeliverableCommand::Batch(command) => batches::run(context, command).await,
    }
}
