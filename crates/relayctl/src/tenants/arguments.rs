//! Arguments of the commands on tenants. The comments on commands and options are the usage texts.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

/// The commands on tenants.
#[derive(Subcommand)]
pub enum TenantCommand {
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
        /// The fields of its specification.
        #[command(flatten)]
        spec: SpecArguments,
    },
    /// Change parts of a tenant's specification.
    Set {
        /// Its name.
        name: String,
        /// The fields of its specification.
        #[command(flatten)]
        spec: SpecArguments,
        /// Back to the default; may be given several times.
        #[arg(long, value_enum)]
        clear: Vec<SpecField>,
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

/// What becomes of a removed tenant's messages.
#[derive(Clone, Copy, ValueEnum)]
pub enum OnRemoval {
    /// What is held goes on to its end.
    Finish,
    /// What is held ends at once.
    Refuse,
}

/// A field of a specification.
#[derive(Clone, Copy, ValueEnum)]
pub enum SpecField {
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

impl SpecField {
    /// Its name in the API.
    pub fn api_name(self) -> &'static str {
        match self {
            SpecField::Weight => "weight",
            SpecField::Rate => "rate",
            SpecField::MaxHeld => "max_held",
            SpecField::MaxInFlight => "max_in_flight",
            SpecField::Classes => "classes",
            SpecField::Destinations => "destinations",
            SpecField::OnRemoval => "on_removal",
        }
    }
}

/// The parts of a specification that are set.
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
