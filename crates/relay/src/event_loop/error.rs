//! Errors of the event loop.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::config::ConfigError;
use crate::operator_config::OperatorFileError;
use crate::tenant_service::TenantsError;

/// The policy found its own state inconsistent. The process has to end; the journal holds all that matters.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct PolicyAborted(pub String);

/// Why an event loop cannot start. Each message is one plain line.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The operator file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The journal cannot be opened or read.
    #[error("cannot use the journal in {}: {source}", folder.display())]
    Journal {
        /// The state directory.
        folder: PathBuf,
        /// The failure of the file system, or damage of the file.
        source: io::Error,
    },
    /// The configured sockets do not suffice for the configured calls and one client.
    #[error("{sockets} sockets do not do for {slots} slots")]
    TooFewSockets {
        /// Sockets for clients and hosts.
        sockets: usize,
        /// Calls at once.
        slots: usize,
    },
    /// The tenants' registry cannot be opened.
    #[error(transparent)]
    Tenants(#[from] TenantsError),
    /// The policy aborted while the state was restored.
    #[error(transparent)]
    Policy(#[from] PolicyAborted),
}

/// Why a new configuration is not put in force.
#[derive(Debug, Error)]
pub(super) enum ReloadError {
    /// The file cannot be read or is not valid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// A key of the configuration in force is missing: the file may be half written.
    #[error("the new one lacks {key}, so it may be half of a file")]
    MissingKey {
        /// Path of the key.
        key: String,
    },
    /// Old and new classes together exceed the policy's numbers.
    #[error("too many classes are in use at once")]
    TooManyClasses,
}
