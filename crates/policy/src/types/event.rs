//! The events that the policy processes.

use serde::{Deserialize, Serialize};

use super::host::HostEntry;
use super::ids::{HostId, MessageId, Micros, TenantId};
use super::message::{Message, Outage, PastAttempt};
use super::settings::Settings;
use super::tenant::TenantTerms;

/// How a call or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The message was delivered.
    Delivered,
    /// The host answered with an error; the call may have been executed.
    Error,
    /// The destination rejected the call without executing it, perhaps with a Retry-After that must be honoured.
    Rejected {
        /// Retry-After of the destination; zero if none.
        retry_after: Micros,
    },
    /// No answer arrived in time; the call may have been executed or may still be running.
    Timeout,
    /// No connection could be opened; the call was not executed.
    ConnectFailed,
    /// The connection was reset; the call may have been executed.
    Reset,
    /// A reused connection broke before any response; the call may have been executed. The failure is more likely due
    /// to the connection than to the host.
    ConnectionLost,
    /// The attempt was cancelled; the call may have been executed.
    Cancelled,
    /// The attempt was obsolete and was not sent; it was not executed.
    Obsolete,
    /// Nothing was written because the host may not be called any more, or not yet. It does not count as an attempt.
    NotStarted,
}

impl AttemptOutcome {
    /// Whether the call may have been executed; false if the outcome proves that it was not.
    #[must_use]
    pub fn may_have_executed(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Rejected { .. }
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::Obsolete
                | AttemptOutcome::NotStarted
        )
    }

    /// Whether the call may still be running at its host.
    #[must_use]
    pub fn may_still_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::Cancelled
        )
    }

    /// Whether anything was written to the host.
    #[must_use]
    pub fn reached_host(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Obsolete | AttemptOutcome::NotStarted
        )
    }

    /// Whether the outcome is no evidence about the host, because a reused connection or the relay itself caused it.
    #[must_use]
    pub fn is_inconclusive(self) -> bool {
        matches!(
            self,
            AttemptOutcome::ConnectionLost
                | AttemptOutcome::Cancelled
                | AttemptOutcome::Obsolete
                | AttemptOutcome::NotStarted
        )
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Message of the attempt.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// Host that was called.
    pub host: HostId,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// The message needs no further final answer.
    pub is_final: bool,
    /// Values in the order of [`Settings::report_fields`]; empty if the answer had no load report.
    pub load_report: Vec<f32>,
}

/// Something that happened since the last round.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The host list was updated, by a full snapshot or by changed entries.
    HostsUpdated {
        /// The entries are a full snapshot: hosts that are not among them are removed.
        is_full: bool,
        /// The list comes from the cache of an earlier process.
        cached: bool,
        /// The hosts with their present states.
        entries: Vec<HostEntry>,
    },
    /// A poll of discovery failed, or the watch of the host list ended.
    DiscoveryFailed,
    /// Whether the host list is unconfirmed. No call starts while it is.
    HostsUnconfirmed(bool),
    /// A message was submitted; it needs one final answer.
    MessageReceived(Message),
    /// A message that was accepted before a restart and still needs its final answer.
    MessageRestored {
        /// The restored message.
        message: Message,
        /// Attempts of the message so far, in order; none is in flight.
        attempts: Vec<PastAttempt>,
    },
    /// An undeliverable message is sent again; it needs one final answer.
    MessageResent {
        /// The message to resend.
        message: Message,
        /// Past attempts that still count, in order; none is in flight.
        attempts: Vec<PastAttempt>,
    },
    /// A message was handed over by a process that shuts down; it needs one final answer.
    MessageAdopted {
        /// The adopted message.
        message: Message,
        /// Attempts of the message so far, in order; the last one may be in flight.
        attempts: Vec<PastAttempt>,
        /// Host at which the last attempt is still in flight; `None` if no attempt is.
        in_flight_at: Option<HostId>,
    },
    /// An outage that this replica detected before a restart.
    OutageRestored(Outage),
    /// The settings changed. The index of a class keeps its meaning while messages have it; an index that no message
    /// has may be reused for another class.
    SettingsChanged(Box<Settings>),
    /// The process is shutting down; no call should be in flight when it ends.
    ShuttingDown {
        /// Time at which the process ends.
        at: Micros,
    },
    /// The streamed answer of a message has started.
    ResponseStarted {
        /// Message that is being answered.
        id: MessageId,
    },
    /// A call was answered on a reused connection, and its slot is free. The response is not confirmed yet:
    /// [`Event::AttemptEnded`] follows, perhaps with another outcome, and the message stays in flight until then. If the
    /// answer is final, the message needs no other final answer unless that event takes it back.
    AttemptAnswered(AttemptEnd),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A host requested a wait in a response that belongs to no call, or to none that is in flight any more.
    RetryAfterReceived {
        /// Host that sent the response.
        host: HostId,
        /// How long to wait.
        retry_after: Micros,
    },
    /// The client has withdrawn the message.
    MessageWithdrawn(MessageId),
    /// A tenant's terms changed; `None` if the tenant was removed.
    TenantChanged(TenantId, Option<TenantTerms>),
    /// A timer that the policy has set is due; the value is its token.
    TimerFired(u64),
    /// A probe that carried no message ended.
    ProbeEnded {
        /// Host that was probed.
        host: HostId,
        /// Outcome of the probe.
        outcome: AttemptOutcome,
        /// Time since the probe was sent.
        elapsed: Micros,
        /// Values in the order of [`Settings::report_fields`]; empty if the answer had no load report.
        load_report: Vec<f32>,
    },
    /// A message from a peer; the policy ignores it.
    PeerMessage {
        /// Number of the peer.
        from: u16,
        /// Content of the message.
        content: Vec<u8>,
    },
}
