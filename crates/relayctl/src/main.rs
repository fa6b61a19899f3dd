//! `relayctl`: administers a relay's tenants and undeliverable messages from a shell. It depends on the administration
//! API's document and on the control protocol, but not on the relay.

mod arguments;
mod audit;
mod client;
mod context;
mod control;
mod credentials;
mod error;
mod input;
mod output;
mod secrets;
mod server;
mod tenants;
mod token;
mod undeliverable;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use arguments::{Arguments, Command};
use client::Client;
use context::CommandContext;
use error::CommandError;
use output::OutputFormat;

/// The environment variable that holds the bearer token if no token file is given.
const TOKEN_VARIABLE: &str = "MADDERPITCH_TOKEN";

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("relayctl: {}", error.to_string().replace('\n', " "));
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: Arguments) -> Result<(), CommandError> {
    let timeout = Duration::from_secs(arguments.timeout);
    let output = if arguments.json {
        OutputFormat::Json
    } else {
        OutputFormat::Table
    };
    // The control socket needs no token, so none is read.
    if let Command::Control(control) = &arguments.command {
        return control::run(control, output, timeout);
    }
    let token = bearer_token(arguments.token_file.as_deref())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CommandError::InvalidInput(format!("cannot start: {e}")))?;
    let client = Client::new(arguments.server, token, timeout);
    let context = CommandContext { client, output };
    runtime.block_on(run_command(&context, arguments.command))
}

/// Reads the token from the file, or from the environment if there is no file; none if the variable is unset or empty.
fn bearer_token(file: Option<&Path>) -> Result<Option<String>, CommandError> {
    match file {
        Some(path) => Ok(Some(input::read_text(path)?.trim().to_string())),
        None => Ok(std::env::var(TOKEN_VARIABLE)
            .ok()
            .filter(|token| !token.is_empty())),
    }
}

async fn run_command(context: &CommandContext, command: Command) -> Result<(), CommandError> {
    match command {
        Command::Tenants(command) => tenants::run(context, command).await,
        Command::Secrets(command) => secrets::run(context, command).await,
        // Handled in `run`, before the API client is created.
        Command::Control(_) => Ok(()),
        Command::Undeliverable(command) => undeliverable::run(context, command).await,
        Command::Audit(arguments) => audit::run(context, &arguments).await,
        Command::Status => server::show_status(context).await,
        Command::Openapi => server::show_document(context).await,
        Command::Token(arguments) => token::create(&arguments, context.output),
    }
}
