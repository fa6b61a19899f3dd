//! The stored form of a record. Postcard writes it by position: fields and variants keep their order, and none is
//! added or taken out.

use serde::{Deserialize, Serialize};
use tenancy::registry::tenant_name;

use crate::attestation::Attestation;
use crate::Micros;

/// Number of a record in its store; numbers grow in the order in which records were added.
pub type RecordId = u64;
/// Maximum attempts of one record; beyond that, those of the newer half that did not run are replaced first.
pub const MAX_ATTEMPTS: usize = 64;
/// Maximum attestations of one record; beyond that the oldest is replaced.
pub const MAX_ATTESTATIONS: usize = 16;
/// Maximum length of an operator's or a batch's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether a message may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeats have no further effect.
    Idempotent,
    /// Destinations ignore repeats of an idempotency key during a window.
    Keyed {
        /// Length of the window, from the first attempt that may have run.
        window: Micros,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// Why a message was given up. The vocabulary is fixed: an identifier is never given another meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Its deadline passed before any call.
    OutOfTimeUnsent,
    /// Its deadline passed after at least one call.
    OutOfTime,
    /// Its attempts were exhausted.
    AttemptsSpent,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// It may have run, and its destination no longer remembers its key.
    KeyForgotten,
    /// Its tenant was removed.
    TenantRemoved,
    /// Its class or tenant no longer exists after a restart.
    NotKnown,
    /// The delivery policy gave it up for another reason.
    GivenUp,
}

impl Reason {
    /// All of them, in the order of their stored numbers.
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

    /// Its identifier, in lower case with hyphens.
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

    /// The reason with this identifier.
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
    /// The host rejected it.
    Refused,
    /// No response in time.
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
    /// When it was sent, in Unix time.
    pub sent: Micros,
    /// The host's name; empty where it is not known.
    pub host: String,
    /// How it ended.
    pub outcome: Outcome,
    /// False once it is known not to have run.
    pub may_have_run: bool,
    /// 0 for attempts before the message was given up, else the number of the resend.
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
    /// An operator discarded it.
    Discarded,
}

/// The state of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// It may be claimed, sent again or closed.
    Open,
    /// An operator has reserved it; nobody else may change it until the lease ends.
    Claimed {
        /// The operator.
        by: String,
        /// End of the lease, in Unix time.
        until: Micros,
    },
    /// A resend is in flight.
    Sending {
        /// Who requested it: an operator, a batch or a rule.
        by: String,
        /// When it began, in Unix time.
        since: Micros,
    },
    /// Nothing is left to be done since that moment, in Unix time.
    Closed(Resolution, Micros),
}

impl RecordState {
    /// Its identifier, in lower case with hyphens; a closed record is named by its resolution.
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
    /// Its id on the wire.
    pub name: String,
    /// Its tenant, as the journal names it.
    pub tenant: String,
    /// Its class.
    pub class: String,
    /// The number of its destination.
    pub destination: u16,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// Its ordering key.
    pub ordering_key: Option<u64>,
    /// Its deadline, in Unix time.
    pub deadline: Micros,
}

impl Origin {
    /// The tenant's name, without the incarnation that the journal adds.
    #[must_use]
    pub fn tenant_name(&self) -> &str {
        tenant_name(&self.tenant)
    }
}

/// A message that was given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The message.
    pub origin: Origin,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// Size of its body, in bytes.
    pub size: u32,
    /// When it was first given up, in Unix time; a resend that fails does not change it.
    pub given_up_at: Micros,
    /// Why it was given up most recently.
    pub reason: Reason,
    /// Its attempts in order, at most [`MAX_ATTEMPTS`].
    pub attempts: Vec<Attempt>,
    /// Its attestations in order, at most [`MAX_ATTESTATIONS`].
    pub attestations: Vec<Attestation>,
    /// Its state.
    pub state: RecordState,
    /// Grows with every change.
    pub version: u32,
    /// How often it has been sent again.
    pub resends: u32,
}

impl Record {
    /// Whether one of its attempts may have run, by the attempts alone.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}
