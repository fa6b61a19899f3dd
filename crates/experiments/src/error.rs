//! Errors of the experiments.

use std::io;
use std::path::PathBuf;

use plotters::drawing::DrawingAreaErrorKind;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or folder cannot be read.
    #[error("cannot use {}: {error}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        #[source]
        error: io::Error,
    },
    /// There is nothing to count.
    #[error("{} holds no log with lines of calls; the operator file's log_calls writes them", folder.display())]
    NoCallLog {
        /// The folder of the logs.
        folder: PathBuf,
    },
    /// The chart cannot be drawn or written.
    #[error("cannot draw the chart: {0}")]
    Chart(#[from] DrawingAreaErrorKind<io::Error>),
    /// A number of relays that the simulation cannot play.
    #[error("{0} relays are not from 1 to 200")]
    RelaysOutOfRange(u16),
    /// The store of undeliverable messages cannot be measured.
    #[error("cannot use a store: {0}")]
    Store(#[from] StoreError),
}

/// Why the store of undeliverable messages cannot be measured.
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
