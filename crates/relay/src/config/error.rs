//! Why a configuration cannot be used.

use std::io;

use adapter::SettingsError;
use thiserror::Error;

/// Why a configuration cannot be used. Each message is one plain line for the operator.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A value is neither in the environment nor in the file.
    #[error("{name} is not set")]
    NotSet {
        /// The variable, or the key.
        name: &'static str,
    },
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file is no JSON, or lacks a key, or has one of a wrong type.
    #[error("{path} is no usable configuration: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// The platform's settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A time span of the settings is longer than the relay supports.
    #[error("settings hold a span that is out of range")]
    SpanOutOfRange,
    /// An address has no port, or is no IP address.
    #[error("{text:?} is no address and port")]
    InvalidAddress {
        /// The value.
        text: String,
    },
    /// The seed is no number.
    #[error("seed {text:?} is no hexadecimal number")]
    InvalidSeed {
        /// The value.
        text: String,
    },
    /// The machine's limits leave no room for a call and a client at once.
    #[error("limits are too small: {sockets} sockets, {disk_mb} MB")]
    LimitsTooSmall {
        /// File descriptors.
        sockets: usize,
        /// Megabytes in the state directory.
        disk_mb: f64,
    },
    /// An entry of a list has no name.
    #[error("settings lack a name at {path}")]
    MissingName {
        /// The list, as a JSON pointer.
        path: &'static str,
    },
    /// A time span is missing, or is none.
    #[error("settings lack a span at {path}")]
    MissingSpan {
        /// The key, as a JSON pointer.
        path: &'static str,
    },
}
