//! What prevents a relay from being played on loopback sockets.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// A relay, or what stands around it, can't be started.
#[derive(Debug, Error)]
pub enum LoopbackError {
    /// No port can be had.
    #[error("no loopback port: {0}")]
    NoPort(#[source] io::Error),
    /// The relay's program can't be started.
    #[error("cannot start {}: {source}", program.display())]
    StartProgram {
        /// The program.
        program: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The state directory can't be made.
    #[error("no folder for the journal: {0}")]
    StateDirectory(#[source] io::Error),
    /// A file that the relay is to read can't be written.
    #[error("cannot write: {0}")]
    WriteFile(#[source] io::Error),
    /// The tokio runtime can't be started.
    #[error("cannot start: {0}")]
    AsyncRuntime(#[source] io::Error),
}
