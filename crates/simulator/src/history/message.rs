//! A message as its peers observe it: its request, its calls and its outcome.

use std::time::Duration;

/// Whether a message may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The message may be executed any number of times.
    Idempotent,
    /// Hosts discard repeated calls with the same idempotency key while they remember the key.
    Keyed {
        /// How long hosts remember the key, measured from the first call that may have been executed.
        window: Duration,
        /// Whether remembered keys are shared only among the hosts of one zone.
        zone_only: bool,
    },
    /// The message must not be executed twice.
    NonIdempotent,
}

/// A message as its client submits it.
#[derive(Clone, Debug)]
pub struct SubmittedRequest {
    /// The message's id.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// The tenant for which it is submitted.
    pub tenant: String,
    /// Whether its client authenticated as a different tenant.
    pub is_impersonated: bool,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// Its ordering key, if its class is ordered.
    pub ordering_key: Option<u64>,
    /// Its destination.
    pub destination: u16,
    /// Its idempotency key, if its class uses one.
    pub idempotency_key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// Its deadline, since the start of the simulation.
    pub deadline: Duration,
}

/// How a host responds to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The status code is 200.
    Delivered,
    /// Rejected, and provably not executed.
    Rejected {
        /// The wait that the response requests; zero if it requests none.
        retry_after: Duration,
    },
    /// Any other response: the call may have been executed.
    MayHaveExecuted,
}

/// Identifies a call to the checker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    /// The message's id.
    pub message_id: String,
    /// Index among the message's calls, from 0.
    pub index: usize,
}

/// The host that received a call.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Its id.
    pub name: String,
    /// Its destination.
    pub destination: u16,
    /// Its zone.
    pub zone: String,
}

/// A call as a host has read it.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// Number of the connection that it was sent on.
    pub connection: u64,
    /// The host.
    pub host: HostIdentity,
    /// When its first byte arrived.
    pub first_byte_at: Duration,
    /// The method and path.
    pub request_line: String,
    /// The message's id.
    pub message_id: String,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// How long the relay will wait for the response, in milliseconds, from the `X-Expires-In-Ms` header.
    pub expires_in_ms: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

/// A response whose status line a host has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// When it was written.
    pub at: Duration,
    /// The outcome that its status line reports.
    pub outcome: CallOutcome,
}

/// A call of a message.
pub struct Call {
    /// Number of the connection that it was sent on.
    pub connection: u64,
    /// The host's zone.
    pub zone: String,
    /// When its first byte arrived.
    pub first_byte_at: Duration,
    /// When its last byte arrived.
    pub last_byte_at: Duration,
    /// The relay process that sent it.
    pub process: u32,
    /// The first response to it, if any.
    pub response: Option<Response>,
    /// When the host detected that the connection ended without a response.
    pub closed_at: Option<Duration>,
}

impl Call {
    /// Returns the outcome that its response reports, if it has one.
    #[must_use]
    pub fn outcome(&self) -> Option<CallOutcome> {
        self.response.map(|response| response.outcome)
    }

    /// Whether its response reports the message as delivered.
    #[must_use]
    pub fn is_delivered(&self) -> bool {
        self.outcome() == Some(CallOutcome::Delivered)
    }

    /// Whether the call may have been executed: true unless it was rejected.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        !matches!(self.outcome(), Some(CallOutcome::Rejected { .. }))
    }

    /// Whether neither a response nor the end of the connection has been observed.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        self.response.is_none() && self.closed_at.is_none()
    }
}

/// Final status of a message that was not delivered. Violations print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeStatus {
    /// The message failed after an attempt that may have been executed.
    Undeliverable,
    /// The message was rejected and not executed.
    Deferred,
}

impl NoticeStatus {
    /// Parses the status text of a notice; none if the text is unknown.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "undeliverable" => Some(NoticeStatus::Undeliverable),
            "deferred" => Some(NoticeStatus::Deferred),
            _ => None,
        }
    }
}

/// A notice that the platform received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// When the platform received it.
    pub at: Duration,
    /// Final status of the message.
    pub status: NoticeStatus,
}

/// Times at which a message's client received rejecting replies.
#[derive(Clone, Debug, Default)]
pub struct Rejections {
    /// Times of `-BUSY` replies.
    pub busy: Vec<Duration>,
    /// Times of other error replies.
    pub failed: Vec<Duration>,
}

impl Rejections {
    /// Whether no reply rejected the message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.busy.is_empty() && self.failed.is_empty()
    }
}

/// A message and its state as observed so far.
pub struct Message {
    /// The request. A repeated request may extend the deadline.
    pub request: SubmittedRequest,
    /// The relay process to which it was first submitted.
    pub process: u32,
    /// When it was first submitted.
    pub submitted_at: Duration,
    /// When its client received the reply that accepts it.
    pub accepted_at: Option<Duration>,
    /// Whether its client stopped waiting for a reply before it was accepted; its outcome is then not checked.
    pub is_abandoned: bool,
    /// Whether the last reply rejected it. Not updated after it was accepted.
    pub is_rejected: bool,
    /// Replies that rejected it.
    pub rejections: Rejections,
    /// Maximum number of attempts.
    pub max_attempts: usize,
    /// Its calls, in order.
    pub calls: Vec<Call>,
    /// When a host last responded with status 200.
    pub delivered_at: Option<Duration>,
    /// The first notice about it.
    pub notice: Option<Notice>,
}

impl Message {
    /// Whether it was delivered or reported in a notice.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.delivered_at.is_some() || self.notice.is_some()
    }

    /// Whether any of its calls may have been executed.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        self.calls.iter().any(Call::may_have_executed)
    }
}
