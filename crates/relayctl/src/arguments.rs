//! The command line: global options and commands. The doc comments on commands and options are the help texts. The
//! arguments of each resource are defined in its own module.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::audit::AuditArguments;
use crate::control::ControlArguments;
use crate::secrets::SecretCommand;
use crate::tenants::arguments::TenantCommand;
use crate::token::TokenArguments;
use crate::undeliverable::UndeliverableCommand;

/// Administers a relay's tenants and undeliverable messages.
///
/// Exit codes: 0 success; 1 any other failure; 2 invalid arguments; 3 not found; 4 conflict: not in the required state
/// or version, or already exists; 5 not authorized; 6 unreachable; 7 busy, try again later; 8 invalid value.
#[derive(Parser)]
#[command(version, name = "relayctl")]
pub struct Arguments {
    /// Address of the administration API: an address and port, or unix: and a path.
    #[arg(
        long,
        global = true,
        env = "MADDERPITCH_SERVER",
        default_value = "127.0.0.1:8700"
    )]
    pub server: String,
    /// File with the bearer token; if absent, the token is read from the variable MADDERPITCH_TOKEN.
    #[arg(long, global = true, env = "MADDERPITCH_TOKEN_FILE")]
    pub token_file: Option<PathBuf>,
    /// Print responses as JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// Seconds to wait for a response.
    #[arg(long, global = true, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub timeout: u64,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// List, create, change, pause and remove tenants.
    #[command(subcommand)]
    Tenants(TenantCommand),
    /// Add and remove the secrets with which a tenant's clients authenticate.
    #[command(subcommand)]
    Secrets(SecretCommand),
    /// Send a command to a relay's control socket; needs neither the API nor a token.
    Control(ControlArguments),
    /// Inspect, resend and discard undeliverable messages.
    #[command(subcommand)]
    Undeliverable(UndeliverableCommand),
    /// Show the latest entries of the audit log, newest first.
    Audit(AuditArguments),
    /// Show the state of the tenant registry.
    Status,
    /// Print the API's OpenAPI document.
    Openapi,
    /// Create a bearer token and its entry for the operator file, without contacting a server.
    Token(TokenArguments),
}
