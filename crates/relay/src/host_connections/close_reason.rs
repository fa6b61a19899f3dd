//! Why connections to hosts are closed.

use std::cell::Cell;

/// Why a connection to a host was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The host closed the connection.
    HostClosed,
    /// The connection was idle for the idle timeout.
    IdleTimeout,
    /// The pool was full, or the host's address has changed.
    Evicted,
    /// The host is draining or removed, or the process is ending.
    NotNeeded,
    /// A call needed a new connection in its place.
    Replaced,
    /// The connection was used for a single call, as its host had sent surplus responses.
    SingleUse,
    /// The host sent a response that belongs to no call, or part of one.
    SurplusResponse,
    /// A response was missing, malformed, too long or too slow.
    ResponseFailed,
    /// The request could not be written completely.
    RequestIncomplete,
    /// The call reached its time limit.
    Timeout,
    /// The call was cancelled.
    Cancelled,
}

impl CloseReason {
    /// All reasons, in the order of the log.
    pub const ALL: [CloseReason; 11] = [
        CloseReason::HostClosed,
        CloseReason::IdleTimeout,
        CloseReason::Evicted,
        CloseReason::NotNeeded,
        CloseReason::Replaced,
        CloseReason::SingleUse,
        CloseReason::SurplusResponse,
        CloseReason::ResponseFailed,
        CloseReason::RequestIncomplete,
        CloseReason::Timeout,
        CloseReason::Cancelled,
    ];

    /// The reason's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::HostClosed => "host_closed",
            CloseReason::IdleTimeout => "idle_timeout",
            CloseReason::Evicted => "evicted",
            CloseReason::NotNeeded => "not_needed",
            CloseReason::Replaced => "replaced",
            CloseReason::SingleUse => "single_use",
            CloseReason::SurplusResponse => "surplus_response",
            CloseReason::ResponseFailed => "response_failed",
            CloseReason::RequestIncomplete => "request_incomplete",
            CloseReason::Timeout => "timeout",
            CloseReason::Cancelled => "cancelled",
        }
    }
}

/// Numbers of connections that were closed, by reason.
#[derive(Debug, Default)]
pub struct CloseCounts {
    counts: [Cell<u64>; CloseReason::ALL.len()],
}

impl CloseCounts {
    /// Counts a closed connection.
    pub(super) fn record(&self, reason: CloseReason) {
        let count = &self.counts[reason as usize];
        count.set(count.get() + 1);
    }

    /// The number of connections that were closed for a reason since the start of the process.
    pub fn get(&self, reason: CloseReason) -> u64 {
        self.counts[reason as usize].get()
    }
}
