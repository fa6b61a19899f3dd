//! Errors of the event loop.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::config::ConfigError;
use crate::memory_budget::TooLittleMemory;
use crate::operator_config::OperatorFileError;
use crate::tenant_service::TenantsError;

/// The policy found its own state inconsistent. The process has to end; all accepted messages are in the journal.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct PolicyAborted(pub String);

/// Why an event loop cannot start. Each message is a single line.
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
        /// The error of the file system, or the damage found in the file.
        source: io::Error,
    },
    /// The configured sockets do not suffice for the configured calls and one client.
    #[error("{sockets} sockets are too few for {slots} slots")]
    TooFewSockets {
        /// Sockets for clients and hosts.
        sockets: usize,
        /// Maximum number of concurrent calls.
        slots: usize,
    },
    /// The configured memory does not suffice for a process.
    #[error(transparent)]
    TooLittleMemory(#[from] TooLittleMemory),
    /// The tenants' registry cannot be opened.
    #[error(transparent)]
    Tenants(#[from] TenantsError),
    /// The policy aborted while the state was restored.
    #[error(transparent)]
    Policy(#[from] PolicyAborted),
}

/// Why a reloaded configuration is rejected.
#[derive(Debug, Error)]
pub(super) enum ReloadError {
    /// The file cannot be read or is not valid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// A key of the configuration in force is missing, so the file may be incomplete.
    #[error("the new configuration lacks {key}; the file may be incomplete")]
    MissingKey {
        /// Path of the key.
        key: String,
    },
    /// The old and new classes together exceed the maximum number of classes.
    #[error("too many classes are in use at once")]
    TooManyClasses,
}
