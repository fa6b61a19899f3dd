//! The command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

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
    Tenants(Tenants),
    /// Add and remove what a tenant's clients name themselves with.
    #[command(subcommand)]
    Secrets(Secrets),
    /// Call at a relay's door for operators; the API and its token are not needed.
    Control(crate::control::Control),
    /// Look through messages that were given up, and send them again.
    #[command(subcommand)]
    Undeliverable(crate::undeliverable::Undeliverable),
    /// Show the newest changes, the newest first.
    Audit {
        /// Of this tenant alone.
        #[arg(long)]
        tenant: Option<String>,
        /// So many at most.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=1000))]
        limit: u16,
    },
    /// Show how the registry does.
    Status,
    /// Print the API's document.
    Openapi,
    /// Make a bearer token, and what the operator file needs to know of it. Nothing is asked of a server.
    Token {
        /// Its name in the audit log.
        name: String,
        /// What its bearer may do.
        #[arg(long, value_enum)]
        role: Role,
        /// A tenant that it is for, or the beginning of names followed by *; may be given several times.
        #[arg(long = "tenant", default_value = "*")]
        tenants: Vec<String>,
    },
}

/// What a bearer may do.
#[derive(Clone, Copy, ValueEnum)]
pub enum Role {
    /// Look at tenants and their usage.
    Viewer,
    /// Also change, pause, resume, and read the audit log.
    Operator,
    /// Also make and remove tenants, and change secrets.
    Admin,
}

/// What becomes of a removed tenant's messages.
#[derive(Clone, Copy, ValueEnum)]
pub enum OnRemoval {
    /// What is held goes on to its end.
    Finish,
    /// What is held ends at once.
    Refuse,
}

/// What is done with tenants.
#[derive(Subcommand)]
pub enum Tenants {
    /// List all tenants in the token's scope.
    List,
    /// Show a tenant.
    Show {
        /// Its name.
        name: String,
    },
    /// Make a tenant.
    Create {
        /// Its name.
        name: String,
        /// What is set of it.
        #[command(flatten)]
        spec: SpecArguments,
    },
    /// Change parts of a tenant's specification.
    Set {
        /// Its name.
        name: String,
        /// What is set of it.
        #[command(flatten)]
        spec: SpecArguments,
        /// Back to the default; may be given several times.
        #[arg(long, value_enum)]
        clear: Vec<Field>,
        /// Only in this version.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Put the specification of a file in place of a tenant's.
    Replace {
        /// Its name.
        name: String,
        /// JSON, such as {"weight": 300}; - for standard input.
        #[arg(long)]
        from: PathBuf,
        /// Only in this version.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Take nothing more on and send nothing new.
    Pause {
        /// Its name.
        name: String,
        /// Only in this version.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Let a paused tenant go on.
    Resume {
        /// Its name.
        name: String,
        /// Only in this version.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Remove a tenant.
    Remove {
        /// Its name.
        name: String,
        /// What becomes of its messages, in place of what its specification says.
        #[arg(long, value_enum)]
        on_removal: Option<OnRemoval>,
        /// Wait so many seconds until it has drained.
        #[arg(long)]
        wait: Option<u64>,
        /// Only in this version.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Show what a tenant has in the relay, and what passed since the relay's start.
    Usage {
        /// Its name.
        name: String,
    },
}

/// What is done with secrets.
#[derive(Subcommand)]
pub enum Secrets {
    /// Make a secret and print it; only its digest is sent, and it is shown this once.
    Add {
        /// The tenant.
        tenant: String,
        /// The secret's name among the tenant's.
        id: String,
        /// Only in this version.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Take a secret away.
    Remove {
        /// The tenant.
        tenant: String,
        /// The secret's name among the tenant's.
        id: String,
        /// Only in this version.
        #[arg(long)]
        if_version: Option<String>,
    },
}

/// A field of a specification.
#[derive(Clone, Copy, ValueEnum)]
pub enum Field {
    /// The weight.
    Weight,
    /// The rate and its burst.
    Rate,
    /// The most held.
    MaxHeld,
    /// The most in flight.
    MaxInFlight,
    /// The classes.
    Classes,
    /// The destinations.
    Destinations,
    /// What becomes of messages at a removal.
    OnRemoval,
}

/// What is set of a tenant.
#[derive(Args)]
pub struct SpecArguments {
    /// Its part against those of the other tenants, from 1 to 10000.
    #[arg(long)]
    pub weight: Option<u32>,
    /// Messages a second that it may hand in.
    #[arg(long)]
    pub rate: Option<f64>,
    /// Messages that may come at once, with a rate; as many as come in a second if absent.
    #[arg(long, requires = "rate")]
    pub burst: Option<u32>,
    /// Messages held at most.
    #[arg(long)]
    pub max_held: Option<u32>,
    /// Messages out in calls at most.
    #[arg(long)]
    pub max_in_flight: Option<u32>,
    /// A class that it may hand in; may be given several times.
    #[arg(long = "class")]
    pub classes: Vec<String>,
    /// A destination, or a range such as 10-19, that its messages may go to; may be given several times.
    #[arg(long = "destination")]
    pub destinations: Vec<String>,
    /// What becomes of its messages when it is removed.
    #[arg(long, value_enum)]
    pub on_removal: Option<OnRemoval>,
}
