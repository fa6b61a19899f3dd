//! Errors of the tenant service.

use std::io;
use std::path::PathBuf;

use tenancy::registry::RegistryError;
use tenancy::registry_file::UnsupportedFormat;
use thiserror::Error;

/// Why the tenants of the operator file cannot be served. Each message is one plain line.
#[derive(Debug, Error)]
pub enum TenantsError {
    /// A replica of the registry or the audit log cannot be opened or read.
    #[error("cannot use {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A later version wrote the registry.
    #[error(transparent)]
    Format(#[from] UnsupportedFormat),
    /// A tenant of the settings cannot be imported into a new registry.
    #[error("the tenant {name:?} of the settings can't be hosted: {reason}")]
    ImportRefused {
        /// The tenant's name.
        name: String,
        /// Why the registry refuses it.
        reason: RegistryError,
    },
}

/// Why a change was not made. The message is the `detail` of the administration API's error.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// Too many changes wait for the audit log, which cannot be written.
    #[error("the audit log cannot be written")]
    AuditLogUnavailable,
    /// A replica cannot be written.
    #[error("the registry cannot be written: {0}")]
    ReplicaUnavailable(io::Error),
}
