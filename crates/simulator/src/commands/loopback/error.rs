//! Errors of running a relay on loopback sockets.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// A relay or its peers can't be started.
#[derive(Debug, Error)]
pub enum LoopbackError {
    /// No loopback port can be bound.
    #[error("cannot bind a loopback port: {0}")]
    NoPort(#[source] io::Error),
    /// The relay's program can't be started.
    #[error("cannot start {}: {source}", program.display())]
    StartProgram {
        /// The program.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The state directory can't be created.
    #[error("cannot create the state directory: {0}")]
    StateDirectory(#[source] io::Error),
    /// The relay's configuration file can't be written.
    #[error("cannot write the configuration: {0}")]
    WriteFile(#[source] io::Error),
    /// The tokio runtime can't be started.
    #[error("cannot start the tokio runtime: {0}")]
    AsyncRuntime(#[source] io::Error),
}
