//! How a host treats its calls.

use std::time::Duration;

/// Percentage of failing calls from which a host counts as down.
const OUTAGE_ERROR_PERCENT: u64 = 50;

/// How a host treats its calls at present.
#[derive(Clone, Debug, PartialEq)]
pub struct HostBehavior {
    /// Least time that it takes to respond, in milliseconds.
    pub min_response_ms: u64,
    /// Most time that it takes to respond, in milliseconds.
    pub max_response_ms: u64,
    /// Percentage of the calls that end in a server error.
    pub error_percent: u64,
    /// Percentage of the responses that are corrupted.
    pub corruption_percent: u64,
    /// How it rejects all calls, if it does.
    pub rejection: Option<Rejection>,
    /// It reads calls and never responds.
    pub hangs: bool,
    /// It closes each connection that a call comes on.
    pub drops_calls: bool,
    /// It sends its responses a byte at a time.
    pub responds_bytewise: bool,
    /// It closes connections soon after a response, or just when the next call comes.
    pub closes_after_response: bool,
    /// Calls that it takes a second; the others are rejected with a wait.
    pub max_calls_per_second: Option<f64>,
    /// Rejected calls use the limit up too, half of them without a wait, and responses report what remains of it.
    pub rejections_use_limit: bool,
    /// Connections that it holds at most.
    pub max_connections: Option<usize>,
}

impl HostBehavior {
    /// Whether the host serves no call, or fails most.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        let fails_most = self.error_percent >= OUTAGE_ERROR_PERCENT;
        self.hangs || self.drops_calls || self.rejection.is_some() || fails_most
    }
}

/// How a host rejects all calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// Without saying for how long.
    WithoutWait,
    /// With the wait until this moment.
    Until(Duration),
}

impl Default for HostBehavior {
    fn default() -> Self {
        HostBehavior {
            min_response_ms: 5,
            max_response_ms: 60,
            error_percent: 0,
            corruption_percent: 0,
            rejection: None,
            hangs: false,
            drops_calls: false,
            responds_bytewise: false,
            closes_after_response: false,
            max_calls_per_second: None,
            rejections_use_limit: false,
            max_connections: None,
        }
    }
}
