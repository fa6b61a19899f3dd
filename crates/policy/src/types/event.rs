//! What happens to the policy: the events that it takes.

use serde::{Deserialize, Serialize};

use super::host::HostEntry;
use super::ids::{HostId, MessageId, Micros, TenantId};
use super::message::{Message, Outage, PastAttempt};
use super::settings::Settings;
use super::tenant::TenantTerms;

/// How a call or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; may have been executed.
    Error,
    /// Rejected unseen, perhaps with a Retry-After that must be honoured.
    Rejected {
        /// The Retry-After; zero if none.
        retry_after: Micros,
    },
    /// No answer in time; may have been executed, or still be.
    Timeout,
    /// No connection; not executed.
    ConnectFailed,
    /// The connection was reset; may have been executed.
    Reset,
    /// A reused connection broke before anything came back; may have been executed, but
    /// says more about the connection than about its host.
    ConnectionLost,
    /// Cancelled; may have been executed.
    Cancelled,
    /// Not sent, as it was obsolete; not executed.
    Obsolete,
    /// Nothing was written, as its host may not be called any more, or not yet; it does not count as an attempt.
    NotStarted,
}

impl AttemptOutcome {
    /// False where the outcome proves that the call was not executed.
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

    /// Whether the outcome says nothing of the host: it comes of a reused connection or of the relay itself.
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
    /// The message.
    pub id: MessageId,
    /// Which attempt, from 0.
    pub attempt: u8,
    /// Where it went.
    pub host: HostId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since sending.
    pub elapsed: Micros,
    /// The message needs no final answer any more.
    pub is_final: bool,
    /// Values in the order of the settings' `report_fields`.
    pub load_report: Vec<f32>,
}

/// What happened since the last round.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of hosts: a full snapshot, or what changed.
    HostsUpdated {
        /// The entries replace the list instead of changing it.
        is_full: bool,
        /// The list comes from the cache of an earlier process.
        cached: bool,
        /// The hosts.
        entries: Vec<HostEntry>,
    },
    /// A poll of discovery failed, or the watch ended.
    DiscoveryFailed,
    /// Whether the list of hosts is still to be confirmed; no call starts until then.
    HostsUnconfirmed(bool),
    /// A message was submitted; it needs one final answer.
    MessageReceived(Message),
    /// A message that was accepted before a restart and still needs its final answer.
    MessageRestored {
        /// The message.
        message: Message,
        /// Its attempts so far, in order; none is in flight.
        attempts: Vec<PastAttempt>,
    },
    /// A message that was given up before and is sent again; it needs one final answer.
    MessageResent {
        /// The message.
        message: Message,
        /// Attempts that still count, in order; none is in flight.
        attempts: Vec<PastAttempt>,
    },
    /// A message that is taken over from a process that shuts down; it needs one final answer.
    MessageAdopted {
        /// The message.
        message: Message,
        /// Its attempts so far, in order.
        attempts: Vec<PastAttempt>,
        /// The host where the last of them is still in flight, if it is.
        in_flight_at: Option<HostId>,
    },
    /// An outage that this replica saw before a restart.
    OutageRestored(Outage),
    /// The settings from now on. What a class's number means for the messages that have it does not change; a number
    /// that no message has may mean another class.
    SettingsChanged(Box<Settings>),
    /// The process ends at this moment; no call should be in flight then.
    ShuttingDown {
        /// When.
        at: Micros,
    },
    /// The answer of a streamed message has started.
    ResponseStarted {
        /// The message.
        id: MessageId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client has withdrawn the message.
    MessageWithdrawn(MessageId),
    /// A tenant's terms from now on; none when it is gone.
    TenantChanged(TenantId, Option<TenantTerms>),
    /// A timer that the policy has set is due.
    TimerFired(u64),
    /// A probe ended.
    ProbeEnded {
        /// Where it went.
        host: HostId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since sending.
        elapsed: Micros,
        /// Values in the order of the settings' `report_fields`.
        load_report: Vec<f32>,
    },
    /// A message from a peer; the policy ignores it.
    PeerMessage {
        /// Number of the peer.
        from: u16,
        /// The content.
        content: Vec<u8>,
    },
}
