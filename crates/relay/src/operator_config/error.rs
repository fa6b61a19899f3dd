//! Errors of the operator file.

use std::io;

use thiserror::Error;

use crate::undeliverable_service::SettingsError;

/// An operator file that cannot be used. Each message is a single line for the operator.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the operator file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not valid UTF-8.
    #[error("{path} is not valid UTF-8")]
    NotText {
        /// Path of the operator file.
        path: String,
    },
    /// The file is not valid TOML, lacks a key, or has a key that is unknown or of the wrong type.
    #[error("{path} is not a valid operator file: {}", single_line(.source))]
    Malformed {
        /// Path of the operator file.
        path: String,
        /// Error of the parser.
        source: toml::de::Error,
    },
    /// A value is invalid.
    #[error("{path} is not a valid operator file: {}", single_line(.source))]
    Invalid {
        /// Path of the operator file.
        path: String,
        /// The error of the first invalid value.
        source: InvalidValue,
    },
}

/// An invalid value in the operator file.
#[derive(Debug, Error)]
pub enum InvalidValue {
    /// A number is out of its range.
    #[error("tenants.{key} must be from {min} to {max}")]
    OutOfRange {
        /// Name of the key in the section `tenants`.
        key: &'static str,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// The folder of the tenant registry is not an absolute path.
    #[error("tenants.folder: {folder:?} is not an absolute path")]
    RelativeFolder {
        /// The invalid value.
        folder: String,
    },
    /// A value in the section `undeliverable`.
    #[error("{0}")]
    Undeliverable(SettingsError),
    /// A value in the section `admin`.
    #[error(transparent)]
    Administration(admin::SettingsError),
    /// The administration API is enabled, but neither of the functions that it administers is.
    #[error("admin requires tenants or undeliverable: otherwise there is nothing to administer")]
    NothingToAdminister,
}

fn single_line(error: &impl ToString) -> String {
    error.to_string().trim().replace('\n', " ")
}
