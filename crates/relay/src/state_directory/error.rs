//! Errors of acquiring the state directory.

#[cfg(test)]
mod tests;

use std::io;
use std::path::PathBuf;

/// Why a process did not become the owner of the state directory. Each message is a single line for the operator.
#[derive(Debug, thiserror::Error)]
pub enum OwnershipError {
    /// A lock file cannot be opened or locked: the directory is missing, read-only or on a failing disk.
    #[error("cannot lock the folder {}: {source}", directory.display())]
    Unusable {
        /// The state directory.
        directory: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process owns the directory and, without an inherited listening socket, will not hand it over.
    #[error("another process uses the folder {}", directory.display())]
    InUse {
        /// The state directory.
        directory: PathBuf,
    },
    /// Another process already waits for the owner to hand over.
    #[error("another process is already waiting to take over")]
    SuccessorExists,
}
