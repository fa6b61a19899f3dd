//! The stored form of a record. Postcard encodes it by position, so no field or variant may be moved, added or removed.
//! [`Record::calls_ended_at`] is stored behind the other fields, where versions that do not know it ignore it.

use serde::{Deserialize, Serialize};
use tenancy::registry::tenant_name;

use crate::attestation::Attestation;
use crate::Micros;

/// Number of a record in its store, from 1, in the order of insertion.
pub type RecordId = u64;
/// Maximum attempts of one record. Beyond that, attempts of the newer half that did not run are replaced first.
pub const MAX_ATTEMPTS: usize = 64;
/// Maximum attestations of one record. Beyond that, the oldest is replaced.
pub const MAX_ATTESTATIONS: usize = 16;
/// Maximum length of an operator's or a batch's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether a message may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeated execution has no further effect.
    Idempotent,
    /// Destinations ignore repeated use of an idempotency key within a window.
    Keyed {
        /// Length of the window, which starts with the first attempt that may have run.
        window: Micros,
    },
    /// The message must not run twice.
    NonIdempotent,
}

/// Why a message was given up. The identifiers are stable: none is reused with another meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The deadline passed before any call.
    OutOfTimeUnsent,
    /// The deadline passed after at least one call.
    OutOfTime,
    /// All permitted attempts were made.
    AttemptsSpent,
    /// The message may have run and must not run twice.
    MayHaveRun,
    /// The message may have run, and the destination no longer remembers its idempotency key.
    KeyForgotten,
    /// The tenant was removed.
    TenantRemoved,
    /// The class or tenant does not exist after a restart.
    NotKnown,
    /// The delivery policy gave the message up for another reason.
    GivenUp,
}

impl Reason {
    /// All reasons, in the order of their stored numbers.
    pub const ALL: [Reason; 8] = [
        Reason::OutOfTimeUnsent,
        Reason::OutOfTime,
        Reason::AttemptsSpent,
        Reason::MayHaveRun,
        Reason::KeyForgotten,
        Reason::TenantRemoved,
        Reason::NotKnown,
        Reason::GivenUp,
    ];

    /// The identifier, in lower case with hyphens.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::OutOfTimeUnsent => "out-of-time-unsent",
            Reason::OutOfTime => "out-of-time",
            Reason::AttemptsSpent => "attempts-spent",
            Reason::MayHaveRun => "may-have-run",
            Reason::KeyForgotten => "key-forgotten",
            Reason::TenantRemoved => "tenant-removed",
            Reason::NotKnown => "not-known",
            Reason::GivenUp => "given-up",
        }
    }

    /// The reason with this identifier; none if the identifier is unknown.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Reason::ALL
            .into_iter()
            .find(|reason| reason.as_str() == text)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The process ended before the outcome was known.
    Unknown,
    /// The host responded with an error.
    Error,
    /// The host rejected the message without running it.
    Refused,
    /// The host did not respond in time.
    TimedOut,
    /// The connection could not be established.
    NotConnected,
    /// The connection was lost during the call.
    Broken,
    /// The relay cancelled the call.
    #[serde(rename = "called-off")]
    Cancelled,
    /// The request was not sent.
    NotSent,
    /// The message was delivered.
    Delivered,
}

/// An attempt to deliver a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// When its host was chosen, in Unix time. The host cannot have received its request before.
    pub sent: Micros,
    /// The host's name; empty if unknown.
    pub host: String,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// False if the message is known not to have run in this attempt.
    pub may_have_run: bool,
    /// The number of the resend that the attempt belongs to; 0 for attempts before the message was given up.
    pub resend: u32,
}

/// Why a record is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// A resend was delivered.
    Delivered,
    /// An earlier attempt had taken effect.
    AppliedBefore,
    /// An operator discarded the record.
    Discarded,
}

/// The state of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The record may be claimed, resent or closed.
    Open,
    /// An operator has reserved the record; no other operator may change it until the lease ends.
    Claimed {
        /// The operator's name.
        by: String,
        /// End of the lease, in Unix time.
        until: Micros,
    },
    /// A resend is in flight.
    Sending {
        /// Who requested the resend: an operator, a batch or a rule.
        by: String,
        /// When the resend started, in Unix time.
        since: Micros,
    },
    /// No further action is needed. Holds the resolution and when the record was closed, in Unix time.
    Closed(Resolution, Micros),
}

impl RecordState {
    /// The identifier, in lower case with hyphens; for a closed record, that of its resolution.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            RecordState::Open => "open",
            RecordState::Claimed { .. } => "claimed",
            RecordState::Sending { .. } => "sending",
            RecordState::Closed(Resolution::Delivered, _) => "delivered",
            RecordState::Closed(Resolution::AppliedBefore, _) => "applied-before",
            RecordState::Closed(Resolution::Discarded, _) => "discarded",
        }
    }
}

/// The message as it was submitted, without its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The message's id on the wire.
    pub name: String,
    /// The tenant's reference in the journal: its name, with `/generation` after the first generation.
    pub tenant: String,
    /// The message's class.
    pub class: String,
    /// The destination's number.
    pub destination: u16,
    /// The idempotency key, if the message has one.
    pub idempotency_key: Option<String>,
    /// The ordering key, if the message has one.
    pub ordering_key: Option<u64>,
    /// The deadline, in Unix time.
    pub deadline: Micros,
}

impl Origin {
    /// The tenant's name, without the generation in the journal's reference.
    #[must_use]
    pub fn tenant_name(&self) -> &str {
        tenant_name(&self.tenant)
    }
}

/// A message that was given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The message as it was submitted.
    pub origin: Origin,
    /// Whether the message may run more than once.
    pub idempotency: Idempotency,
    /// Size of the message's body, in bytes.
    pub size: u32,
    /// When the message was first given up, in Unix time. A failed resend does not change it.
    pub given_up_at: Micros,
    /// Why the message was given up most recently.
    pub reason: Reason,
    /// Attempts in order, at most [`MAX_ATTEMPTS`].
    pub attempts: Vec<Attempt>,
    /// Attestations in order, at most [`MAX_ATTESTATIONS`].
    pub attestations: Vec<Attestation>,
    /// The current state.
    pub state: RecordState,
    /// Increases with every change; a request may name the version that it expects.
    pub version: u32,
    /// Number of resends that were started.
    pub resends: u32,
    /// When the last call of the attempts ended, in Unix time. `None` if that is not recorded: a call was still open, or
    /// the process ended before it, or an earlier version wrote the record.
    #[serde(skip)]
    pub calls_ended_at: Option<Micros>,
}

impl Record {
    /// Whether at least one attempt may have run. Attestations are not considered.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}
