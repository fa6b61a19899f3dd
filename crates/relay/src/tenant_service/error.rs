//! Errors of the tenant service.

use std::io;
use std::path::PathBuf;

use tenancy::registry::RegistryError;
use tenancy::registry_file::UnsupportedFormat;
use thiserror::Error;

/// Why the tenants of the operator file cannot be served. Each message is a single line.
#[derive(Debug, Error)]
pub enum TenantsError {
    /// A replica of the registry or the audit log cannot be opened or read.
    #[error("cannot use {}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operation on the file.
        source: io::Error,
    },
    /// A later version wrote the registry.
    #[error(transparent)]
    Format(#[from] UnsupportedFormat),
    /// A tenant of the settings cannot be imported into a new registry.
    #[error("cannot import the tenant {name:?} of the settings: {reason}")]
    ImportRefused {
        /// The tenant's name.
        name: String,
        /// Why the registry refuses it.
        reason: RegistryError,
    },
}

/// Why a change was not made. The message is the `detail` of the administration API's problem.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The audit log cannot be written, and the maximum number of changes waits for it.
    #[error("the audit log cannot be written")]
    AuditLogUnavailable,
    /// A replica cannot be written.
    #[error("the registry cannot be written: {0}")]
    ReplicaUnavailable(io::Error),
}
