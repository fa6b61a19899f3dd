//! Undeliverable messages: the commands on records, and those on batches of them. The comments on commands and options
//! are the usage texts.

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
        /// The records.
        #[command(flatten)]
        filter: FilterArguments,
        /// So many at most.
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        limit: u32,
    },
    /// Print records with their stories, a JSON object a line, newest first.
    Export {
        /// The records.
        #[command(flatten)]
        filter: FilterArguments,
        /// Into this file, which must not be there; to standard output if absent.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Show a record with its whole story.
    Show {
        /// Its number.
        id: u64,
    },
    /// Count records.
    Counts {
        /// By what.
        #[arg(long, value_enum, default_value = "reason")]
        by: CountGroup,
    },
    /// Show how the store does.
    Status,
    /// Set a record aside: until the claim is over nobody else may change it.
    Claim(RecordArguments),
    /// Give a claim up.
    Release(RecordArguments),
    /// Send a message again, if its rules allow that now.
    Resend(RecordArguments),
    /// Ask the partner whether the message took effect.
    Ask(RecordArguments),
    /// Say whether a message took effect; two operators who agree stand for the partner's word.
    Attest {
        /// The record.
        #[command(flatten)]
        record: RecordArguments,
        /// What is so.
        #[arg(long = "says", value_name = "SAYS", value_enum)]
        claim: ExecutionClaim,
    },
    /// Close a record without more.
    Discard(RecordArguments),
    /// Many records under one name.
    #[command(subcommand)]
    Batch(BatchCommand),
}

/// Runs a command on undeliverable messages.
///
/// # Errors
/// The arguments are wrong, or a request failed.
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
