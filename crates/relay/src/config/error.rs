//! Errors of the configuration.

use std::io;

use adapter::SettingsError;
use thiserror::Error;

/// A configuration that cannot be used. Each message is a single line for the operator.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required value is set neither in the environment nor in the file.
    #[error("{name} is not set")]
    NotSet {
        /// Name of the environment variable or of the key.
        name: &'static str,
    },
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the configuration file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON, lacks a key, or has a key of the wrong type.
    #[error("{path} is not a valid configuration: {source}")]
    Malformed {
        /// Path of the configuration file.
        path: String,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The platform's settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The maximum Retry-After or the tick is longer than the relay supports.
    #[error("settings contain a duration that is out of range")]
    DurationOutOfRange,
    /// An address is not an IP address with a port.
    #[error("{text:?} is no address and port")]
    InvalidAddress {
        /// The invalid value.
        text: String,
    },
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("seed {text:?} is not a 64-bit hexadecimal number")]
    InvalidSeed {
        /// The invalid value.
        text: String,
    },
    /// The machine's limits do not suffice for a client and a call at the same time, or for a message in the journal.
    #[error("limits are too small: {sockets} sockets, {disk_mb} MB")]
    LimitsTooSmall {
        /// Configured number of file descriptors.
        sockets: usize,
        /// Configured disk space of the state directory, in megabytes.
        disk_mb: f64,
    },
    /// The memory limit is not a finite number.
    #[error("the memory limit is not a number of megabytes")]
    InvalidMemoryLimit,
    /// An entry of a list has no name.
    #[error("settings lack a name at {path}")]
    MissingName {
        /// JSON pointer to the list within the settings.
        path: &'static str,
    },
    /// A duration is missing or not a number within the supported range.
    #[error("settings lack a duration at {path}")]
    MissingDuration {
        /// JSON pointer to the duration within the settings.
        path: &'static str,
    },
}
