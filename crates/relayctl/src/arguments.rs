//! The command line: global options and the commands. The comments on commands and options are the usage texts; each
//! resource has its own arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::audit::AuditArguments;
use crate::control::ControlArguments;
use crate::secrets::SecretCommand;
use crate::tenants::arguments::TenantCommand;
use crate::token::TokenArguments;
use crate::undeliverable::UndeliverableCommand;

/// Administrates a relay's tenants and its undeliverable messages.
///
/// Exit codes: 0 done; 1 something else failed; 2 wrong arguments; 3 there is no such thing; 4 in another state
/// than was meant, or there already; 5 not allowed; 6 not reached; 7 busy, try again later; 8 a value is wrong.
#[derive(Parser)]
#[command(version, name = "relayctl")]
pub struct Arguments {
    /// Where the API listens: an address and port, or unix: and a path.
    #[arg(
        long,
        global = true,
        env = "MADDERPITCH_SERVER",
        default_value = "127.0.0.1:8700"
    )]
    pub server: String,
    /// A file with the bearer token; the variable MADDERPITCH_TOKEN may hold the token itself.
    #[arg(long, global = true, env = "MADDERPITCH_TOKEN_FILE")]
    pub token_file: Option<PathBuf>,
    /// Print answers as JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// Wait for an answer so many seconds.
    #[arg(long, global = true, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub timeout: u64,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Subcommand)]
pub enum Command {
    /// List, make, change, pause and remove tenants.
    #[command(subcommand)]
    Tenants(TenantCommand),
    /// Add and remove what a tenant's clients name themselves with.
    #[command(subcommand)]
    Secrets(SecretCommand),
    /// Call at a relay's door for operators; the API and its token are not needed.
    Control(ControlArguments),
    /// Look through messages that were given up, and send them again.
    #[command(subcommand)]
    Undeliverable(UndeliverableCommand),
    /// Show the newest changes, the newest first.
    Audit(AuditArguments),
    /// Show how the registry does.
    Status,
    /// Print the API's document.
    Openapi,
    /// Make a bearer token, and what the operator file needs to know of it. Nothing is asked of a server.
    Token(TokenArguments),
}
