//! Errors of exchanges with discovery.

use std::io;

use hyper::StatusCode;
use runtime::Elapsed;
use thiserror::Error;

/// Discovery did not answer, or its answer cannot be used.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// Discovery did not respond in time.
    #[error(transparent)]
    Timeout(#[from] Elapsed),
    /// The connection could not be opened.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The exchange failed below the level of HTTP responses.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The response does not have the expected status.
    #[error("answered {0}")]
    UnexpectedStatus(StatusCode),
    /// The body of the response exceeds the size limit.
    #[error("length limit exceeded")]
    ResponseTooLong,
    /// Discovery closed the watch.
    #[error("it was closed")]
    WatchClosed,
    /// The address of discovery changed in the configuration.
    #[error("it moved")]
    AddressChanged,
    /// The event loop has stopped and accepts no events.
    #[error("channel closed")]
    EventLoopStopped,
    /// Discovery sent a list that cannot be used. Unlike after other errors, discovery assumes that the relay has received
    /// the contents of the list, so the relay has to request a full snapshot.
    #[error(transparent)]
    InvalidList(#[from] InvalidListError),
}

impl DiscoveryError {
    /// Whether discovery sent a list that cannot be used.
    pub fn is_invalid_list(&self) -> bool {
        matches!(self, DiscoveryError::InvalidList(_))
    }
}

/// A host list that cannot be used.
#[derive(Debug, Error)]
pub enum InvalidListError {
    /// The list is longer than [`MAX_LIST_BYTES`](super::list_decoder::MAX_LIST_BYTES).
    #[error("a list is too long")]
    TooLong,
    /// The list ended before its closing bracket.
    #[error("a list was cut off")]
    Truncated,
    /// The rest of the list did not arrive in time.
    #[error("half of a list came")]
    Incomplete,
    /// The input is not a JSON object.
    #[error("a line is no list")]
    NotAList,
    /// The list is a JSON object that does not match the expected form.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The list is older than the current one.
    #[error("its list {received} is older than {current}")]
    Stale {
        /// Version of the list that was received.
        received: u64,
        /// Version of the current list, which is newer.
        current: u64,
    },
}
