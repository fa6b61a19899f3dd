//! Errors that prevent a relay from starting or continuing.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::config::ConfigError;
use crate::event_loop::{PolicyAborted, StartupError};
use crate::operator_config::OperatorFileError;
use crate::state_directory::OwnershipError;

/// An error that prevents a relay from starting or continuing. Each message is a single line for the operator.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The asynchronous runtime cannot be built.
    #[error("cannot start the asynchronous runtime: {0}")]
    AsyncRuntime(io::Error),
    /// The signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The operator file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The environment variable for the inherited listening socket does not contain a number.
    #[error("invalid socket descriptor {text:?}: not a number")]
    InvalidDescriptor {
        /// Value of the variable.
        text: String,
    },
    /// The inherited descriptor is not a listening socket.
    #[error("cannot listen on descriptor {descriptor}: {source}")]
    InheritedListener {
        /// Number of the descriptor.
        descriptor: i32,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The control socket cannot be opened.
    #[error("cannot listen for operators on {address}: {source}")]
    ListenForOperators {
        /// The configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The listening socket for clients cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    ListenForClients {
        /// The configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The state directory cannot be acquired.
    #[error(transparent)]
    StateDirectory(#[from] OwnershipError),
    /// The administration API cannot be started.
    #[error("{0}")]
    Administration(String),
    /// The event loop cannot start.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The policy found its own state inconsistent.
    #[error(transparent)]
    Policy(#[from] PolicyAborted),
}
