//! Errors of the experiments.

use std::io;
use std::path::PathBuf;

use plotters::drawing::DrawingAreaErrorKind;

/// An error that makes a command fail.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or folder cannot be read.
    #[error("cannot read {}: {error}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        #[source]
        error: io::Error,
    },
    /// No log has a line about a destination.
    #[error("{} has no log with call log lines; enable log_calls in the operator file to write them", folder.display())]
    NoCallLog {
        /// The folder of the logs.
        folder: PathBuf,
    },
    /// The chart cannot be drawn or written.
    #[error("cannot draw the chart: {0}")]
    Chart(#[from] DrawingAreaErrorKind<io::Error>),
    /// The simulation does not support this number of relays.
    #[error("the number of relays must be from 1 to 200, but is {0}")]
    RelaysOutOfRange(u16),
    /// The store of undeliverable messages cannot be measured.
    #[error("cannot measure the store: {0}")]
    Store(#[from] StoreError),
}

/// An error while measuring the store of undeliverable messages.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store's file or its folder cannot be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The store returned an error.
    #[error(transparent)]
    Store(#[from] undeliverable::store::StoreError),
    /// A histogram's bounds are not valid.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
}
