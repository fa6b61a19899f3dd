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
    #[error("unexpected response status {0}")]
    UnexpectedStatus(StatusCode),
    /// The body of the response exceeds the size limit.
    #[error("the response exceeds its size limit")]
    ResponseTooLong,
    /// Discovery closed the watch.
    #[error("discovery closed the watch")]
    WatchClosed,
    /// The address of discovery changed in the configuration.
    #[error("the address of discovery changed")]
    AddressChanged,
    /// The event loop has stopped and accepts no events.
    #[error("the event loop has stopped")]
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
    /// The list is longer than the memory for it.
    #[error("the list exceeds its size limit")]
    TooLong,
    /// The list ended before its closing bracket.
    #[error("the list is truncated")]
    Truncated,
    /// The rest of the list did not arrive in time.
    #[error("the rest of the list did not arrive in time")]
    Incomplete,
    /// The input is not a JSON object.
    #[error("the line is not a list")]
    NotAList,
    /// The list is a JSON object that does not match the expected form.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The list is older than the current one.
    #[error("the received list {received} is older than the current list {current}")]
    Stale {
        /// Version of the list that was received.
        received: u64,
        /// Version of the current list, which is newer.
        current: u64,
    },
}
