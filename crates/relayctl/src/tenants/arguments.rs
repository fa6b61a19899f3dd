//! Arguments of the commands on tenants. The doc comments on commands and options are the help texts.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

/// The commands on tenants.
#[derive(Subcommand)]
pub enum TenantCommand {
    /// List all tenants in the token's scope.
    List,
    /// Show a tenant.
    Show {
        /// Tenant name.
        name: String,
    },
    /// Create a tenant.
    Create {
        /// Tenant name.
        name: String,
        /// The fields of the specification.
        #[command(flatten)]
        spec: SpecArguments,
    },
    /// Change fields of a tenant's specification.
    Set {
        /// Tenant name.
        name: String,
        /// The fields of the specification.
        #[command(flatten)]
        spec: SpecArguments,
        /// Field to reset to its default; may be given several times.
        #[arg(long, value_enum)]
        clear: Vec<SpecField>,
        /// Apply the change only to this version; to the current one if absent.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Replace a tenant's specification with that of a file.
    Replace {
        /// Tenant name.
        name: String,
        /// File with the specification as JSON, such as {"weight": 300}; - for standard input.
        #[arg(long)]
        from: PathBuf,
        /// Apply the change only to this version; to the current one if absent.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Pause a tenant: accept no more messages and send no new ones.
    Pause {
        /// Tenant name.
        name: String,
        /// Apply the change only to this version; to the current one if absent.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Resume a paused tenant.
    Resume {
        /// Tenant name.
        name: String,
        /// Apply the change only to this version; to the current one if absent.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Remove a tenant.
    Remove {
        /// Tenant name.
        name: String,
        /// What happens to the tenant's messages, overriding its specification.
        #[arg(long, value_enum)]
        on_removal: Option<OnRemoval>,
        /// Maximum number of seconds to wait until the tenant has drained; no wait if absent.
        #[arg(long)]
        wait: Option<u64>,
        /// Apply the change only to this version; to the current one if absent.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Show a tenant's messages in the relay, and its counts since the relay's start.
    Usage {
        /// Tenant name.
        name: String,
    },
}

/// What happens to a removed tenant's messages.
#[derive(Clone, Copy, ValueEnum)]
pub enum OnRemoval {
    /// Held messages are still processed to their end.
    Finish,
    /// Held messages end at once.
    Refuse,
}

/// A field of a specification.
#[derive(Clone, Copy, ValueEnum)]
pub enum SpecField {
    /// The weight.
    Weight,
    /// The rate and its burst.
    Rate,
    /// The maximum of held messages.
    MaxHeld,
    /// The maximum of messages in flight.
    MaxInFlight,
    /// The classes.
    Classes,
    /// The destinations.
    Destinations,
    /// What happens to messages on removal.
    OnRemoval,
}

impl SpecField {
    /// The field's name in the API.
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

/// The fields of a specification to set.
#[derive(Args)]
pub struct SpecArguments {
    /// Weight relative to those of the other tenants, from 1 to 10000.
    #[arg(long)]
    pub weight: Option<u32>,
    /// Messages per second that the tenant may submit.
    #[arg(long)]
    pub rate: Option<f64>,
    /// Messages that may arrive at once, with a rate; as many as the rate allows per second if absent.
    #[arg(long, requires = "rate")]
    pub burst: Option<u32>,
    /// Maximum number of held messages.
    #[arg(long)]
    pub max_held: Option<u32>,
    /// Maximum number of messages in flight.
    #[arg(long)]
    pub max_in_flight: Option<u32>,
    /// Class of messages that the tenant may submit; may be given several times.
    #[arg(long = "class")]
    pub classes: Vec<String>,
    /// Destination, or range such as 10-19, that the tenant's messages may go to; may be given several times.
    #[arg(long = "destination")]
    pub destinations: Vec<String>,
    /// What happens to the tenant's messages when it is removed.
    #[arg(long, value_enum)]
    pub on_removal: Option<OnRemoval>,
}
