//! The configurable behaviour of a host.

use std::time::Duration;

/// Percentage of failing calls at or above which a host counts as unavailable.
const OUTAGE_ERROR_PERCENT: u64 = 50;

/// How a host currently responds to calls.
#[derive(Clone, Debug, PartialEq)]
pub struct HostBehavior {
    /// Minimum response time in milliseconds.
    pub min_response_ms: u64,
    /// Maximum response time in milliseconds.
    pub max_response_ms: u64,
    /// Percentage of the calls that end in a server error.
    pub error_percent: u64,
    /// Percentage of the responses that are corrupted.
    pub corruption_percent: u64,
    /// Percentage of the responses that are sent twice.
    pub repeat_percent: u64,
    /// How it rejects all calls; none if it does not.
    pub rejection: Option<Rejection>,
    /// Whether it reads calls without ever responding.
    pub hangs: bool,
    /// Whether it closes each connection on which a call arrives, without a response.
    pub drops_calls: bool,
    /// Whether it sends successful responses one byte at a time.
    pub responds_bytewise: bool,
    /// Whether it closes some connections shortly after a response, possibly just as the next call arrives.
    pub closes_after_response: bool,
    /// Maximum calls per second; further calls are rejected with a wait.
    pub max_calls_per_second: Option<f64>,
    /// Whether rejected calls also count against the limit. Then half of the rejections state no wait, and responses
    /// report the remaining share of the limit.
    pub rejections_use_limit: bool,
    /// Maximum number of open connections; calls on further connections are rejected.
    pub max_connections: Option<usize>,
    /// Maximum time after the arrival of a call until the host begins it, in milliseconds. It begins at the latest when the
    /// connection ends.
    pub max_begin_delay_ms: u64,
    /// Maximum time that the host works on a call until it takes effect, in milliseconds. With zero, calls take effect as
    /// they arrive.
    pub max_work_ms: u64,
}

impl HostBehavior {
    /// Whether the host serves no calls, or fails at least half of them.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        let fails_most = self.error_percent >= OUTAGE_ERROR_PERCENT;
        self.hangs || self.drops_calls || self.rejection.is_some() || fails_most
    }
}

/// How a host rejects all calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// Without a wait in the response.
    WithoutWait,
    /// With the wait until this time, measured since the start of the simulation.
    Until(Duration),
}

impl Default for HostBehavior {
    fn default() -> Self {
        HostBehavior {
            min_response_ms: 5,
            max_response_ms: 60,
            error_percent: 0,
            corruption_percent: 0,
            repeat_percent: 0,
            rejection: None,
            hangs: false,
            drops_calls: false,
            responds_bytewise: false,
            closes_after_response: false,
            max_calls_per_second: None,
            rejections_use_limit: false,
            max_connections: None,
            max_begin_delay_ms: 0,
            max_work_ms: 0,
        }
    }
}
