//! Why an operator file cannot be used.

use std::io;

use thiserror::Error;

use crate::undeliverable_service::SettingsError;

/// Why an operator file cannot be used. Each message is one plain line for the operator.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file is no UTF-8.
    #[error("{path} is no text")]
    NotText {
        /// The file.
        path: String,
    },
    /// The file is no TOML, or has a key that is unknown or of a wrong type.
    #[error("{path} is no usable operator file: {}", single_line(.source))]
    Malformed {
        /// The file.
        path: String,
        /// What the parser says.
        source: toml::de::Error,
    },
    /// A value is out of bounds.
    #[error("{path} is no usable operator file: {}", single_line(.source))]
    Invalid {
        /// The file.
        path: String,
        /// Which value.
        source: InvalidValue,
    },
}

/// A value of the operator file that is out of bounds.
#[derive(Debug, Error)]
pub enum InvalidValue {
    /// A number is out of its range.
    #[error("tenants.{key} is not from {min} to {max}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The least value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// The directory of the tenant registry is not named by an absolute path.
    #[error("tenants.folder: {folder:?} is no absolute path")]
    RelativeFolder {
        /// The value.
        folder: String,
    },
    /// A value of the undeliverable messages' section.
    #[error("{0}")]
    Undeliverable(SettingsError),
    /// A value of the administration API's section.
    #[error(transparent)]
    Administration(admin::SettingsError),
    /// The administration API has nothing to administrate.
    #[error("admin needs tenants or undeliverable: there is nothing else to administrate")]
    NothingToAdministrate,
}

fn single_line(error: &impl ToString) -> String {
    error.to_string().trim().replace('\n', " ")
}
