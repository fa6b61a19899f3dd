//! Why an exchange with discovery failed.

use std::io;

use hyper::StatusCode;
use runtime::Elapsed;
use thiserror::Error;

/// Why discovery did not answer, or why its answer can't be used.
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
    /// The response has a status other than the one that was expected.
    #[error("answered {0}")]
    UnexpectedStatus(StatusCode),
    /// The body of the response is longer than is accepted.
    #[error("length limit exceeded")]
    ResponseTooLong,
    /// Discovery ended the watch.
    #[error("it was closed")]
    WatchClosed,
    /// Discovery has got another address.
    #[error("it moved")]
    AddressChanged,
    /// The event loop has ended and takes no events.
    #[error("channel closed")]
    EventLoopStopped,
    /// Discovery has sent a list that can't be used. Unlike after the other errors, the relay counts as notified of what
    /// the list contains, so it needs a full snapshot.
    #[error(transparent)]
    InvalidList(#[from] InvalidListError),
}

impl DiscoveryError {
    /// Whether discovery has sent a list that can't be used.
    pub fn is_invalid_list(&self) -> bool {
        matches!(self, DiscoveryError::InvalidList(_))
    }
}

/// Why a list can't be used.
#[derive(Debug, Error)]
pub enum InvalidListError {
    /// The list is longer than [`MAX_LIST_BYTES`](super::list_decoder::MAX_LIST_BYTES).
    #[error("a list is too long")]
    TooLong,
    /// The list ended before its last bracket.
    #[error("a list was cut off")]
    Truncated,
    /// The rest of the list did not arrive in time.
    #[error("half of a list came")]
    Incomplete,
    /// The input is no JSON object.
    #[error("a line is no list")]
    NotAList,
    /// The list is malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The list is older than the current one.
    #[error("its list {received} is older than {current}")]
    Stale {
        /// Version of the list that was received.
        received: u64,
        /// Version of the current list.
        current: u64,
    },
}
