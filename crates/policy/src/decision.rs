//! The values that the deciding modules pass to each other. Nothing here decides what is sent.

use crate::route::RouteKey;
use crate::types::{AttemptOutcome, HostId, MessageId, Micros};

/// How a call or probe ended.
pub(crate) struct CallEnd {
    pub(crate) route: RouteKey,
    pub(crate) host: HostId,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) elapsed: Micros,
    /// It was counted as failed when it became overdue.
    pub(crate) was_overdue: bool,
    /// Class of its message; none for a probe.
    pub(crate) class: Option<usize>,
}

/// Why a call counts as failed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// It is in flight for too long.
    Overdue,
    /// It ended and may have been executed.
    MayHaveExecuted,
    /// It ended and provably was not executed.
    NotExecuted,
}

impl FailureKind {
    /// The kind of a failure that was reported.
    pub(crate) fn of_outcome(outcome: AttemptOutcome) -> Self {
        if outcome.may_have_executed() {
            FailureKind::MayHaveExecuted
        } else {
            FailureKind::NotExecuted
        }
    }
}

/// Where a message goes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Selection {
    pub(crate) route: RouteKey,
    pub(crate) host: HostId,
}

/// Whether a call is for recovered messages that have not been attempted yet. These go out despite an open breaker
/// or a backoff, or they would reach their deadlines behind it; a wait that the destination asked for binds them too.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    Normal,
    Recovered,
}

/// Whether a route takes a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    Ready,
    /// Not before this moment; `Micros::MAX` until something happens.
    NotBefore(Micros),
}

impl From<bool> for Urgency {
    fn from(is_recovered: bool) -> Self {
        if is_recovered {
            Urgency::Recovered
        } else {
            Urgency::Normal
        }
    }
}

/// The call that a message goes out in.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallMode {
    /// A call of its own, which others may join.
    New,
    /// The latest call.
    JoinLatest,
}

/// What another attempt risks, the least first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RepeatRisk {
    Idempotent,
    KeyAlreadyUsed,
    KeyUnused,
    NonIdempotent,
    UnknownMessage,
}

/// When a destination is expected to take queued messages, in seconds.
pub(crate) struct ServiceForecast {
    /// Until the next message may go out.
    pub(crate) delay: f64,
    /// Between one message and the next.
    pub(crate) interval: f64,
}

/// A message that may be rejected to make room.
pub(crate) struct SheddingCandidate {
    pub(crate) id: MessageId,
    pub(crate) is_unattempted: bool,
    /// The deadline of one that was recovered and not attempted, otherwise the value when its turn may come.
    pub(crate) priority: f64,
}
