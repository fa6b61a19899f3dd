//! A message as the outside knows it: its request, its calls, and how it ended.

use std::time::Duration;

/// Whether a message may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Hosts that know its idempotency key drop repeats, for a while.
    Keyed {
        /// How long hosts remember the key, from the first call that may have been executed.
        window: Duration,
        /// Only hosts of one zone share the memory.
        zone_only: bool,
    },
    /// It must not be executed twice.
    NonIdempotent,
}

/// A message as its client submits it.
#[derive(Clone, Debug)]
pub struct SubmittedRequest {
    /// The message's id.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// The tenant that it is submitted for.
    pub tenant: String,
    /// Its client has authenticated as another tenant.
    pub is_impersonated: bool,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// Its ordering key, where its class is ordered.
    pub ordering_key: Option<u64>,
    /// Its destination.
    pub destination: u16,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// Its deadline.
    pub deadline: Duration,
}

/// How a host responds to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The status line has 200.
    Delivered,
    /// Rejected, and provably not executed.
    Rejected {
        /// The wait that the response asks for; zero for none.
        retry_after: Duration,
    },
    /// Anything else.
    MayHaveExecuted,
}

/// Identifies a call to the checker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    /// The message's id.
    pub message_id: String,
    /// Which of the message's calls, from 0.
    pub index: usize,
}

/// The host that a call came to.
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
    /// The number of its connection.
    pub connection: u64,
    /// The host.
    pub host: HostIdentity,
    /// When its first byte came.
    pub first_byte_at: Duration,
    /// The method and path.
    pub request_line: String,
    /// The message's id.
    pub message_id: String,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// How long the relay says that it will wait, in milliseconds.
    pub expires_in_ms: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

/// A response whose status line a host has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// When it was written.
    pub at: Duration,
    /// What it says.
    pub outcome: CallOutcome,
}

/// A call of a message.
pub struct Call {
    /// The number of its connection.
    pub connection: u64,
    /// The host's zone.
    pub zone: String,
    /// When its first byte came.
    pub first_byte_at: Duration,
    /// When its last byte came.
    pub last_byte_at: Duration,
    /// The process that made it.
    pub process: u32,
    /// The first response to it.
    pub response: Option<Response>,
    /// When the host saw the connection end without a response.
    pub closed_at: Option<Duration>,
}

impl Call {
    /// The outcome, by its response.
    #[must_use]
    pub fn outcome(&self) -> Option<CallOutcome> {
        self.response.map(|response| response.outcome)
    }

    /// Whether its response says that the message is delivered.
    #[must_use]
    pub fn is_delivered(&self) -> bool {
        self.outcome() == Some(CallOutcome::Delivered)
    }

    /// Whether it is not proven that it was never executed.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        !matches!(self.outcome(), Some(CallOutcome::Rejected { .. }))
    }

    /// Whether neither a response nor the connection's end was seen.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        self.response.is_none() && self.closed_at.is_none()
    }
}

/// How a message ended that was not delivered. Violations print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeStatus {
    /// Failed, after an attempt that may have been executed.
    Undeliverable,
    /// Rejected; it was not executed.
    Deferred,
}

impl NoticeStatus {
    /// The status of a notice's text; none for an unknown text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "undeliverable" => Some(NoticeStatus::Undeliverable),
            "deferred" => Some(NoticeStatus::Deferred),
            _ => None,
        }
    }
}

/// A notice that the platform took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// When.
    pub at: Duration,
    /// How the message ended.
    pub status: NoticeStatus,
}

/// When a message's client received replies that reject it.
#[derive(Clone, Debug, Default)]
pub struct Rejections {
    /// Replies of `-BUSY`.
    pub busy: Vec<Duration>,
    /// Other errors.
    pub failed: Vec<Duration>,
}

impl Rejections {
    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.busy.is_empty() && self.failed.is_empty()
    }
}

/// A message and what became of it.
pub struct Message {
    /// The request. A repeated one may move the deadline.
    pub request: SubmittedRequest,
    /// The process that it was submitted to first.
    pub process: u32,
    /// When it was submitted first.
    pub submitted_at: Duration,
    /// When its client heard that it is accepted.
    pub accepted_at: Option<Duration>,
    /// Its client stopped waiting for a reply, and what becomes of it counts for nothing.
    pub is_abandoned: bool,
    /// The last reply rejected it.
    pub is_rejected: bool,
    /// Replies that rejected it.
    pub rejections: Rejections,
    /// Attempts that it may have.
    pub max_attempts: usize,
    /// Its calls, in order.
    pub calls: Vec<Call>,
    /// When a host last responded with 200.
    pub delivered_at: Option<Duration>,
    /// The first notice of it.
    pub notice: Option<Notice>,
}

impl Message {
    /// Whether it has an end.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.delivered_at.is_some() || self.notice.is_some()
    }

    /// Whether a call of it may have been executed.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        self.calls.iter().any(Call::may_have_executed)
    }
}
