//! A resend in flight, how it ends, and what its end changes in its record.

use policy::types::Micros;
use undeliverable::record::Resolution;
use undeliverable::{Attempt, Reason, Record, RecordState};

use super::submission::UnsavedRecord;
use crate::journal::ResendOrigin;

/// Whether a resend has delivered its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryResult {
    /// The message was delivered.
    Delivered,
    /// The resend ended without delivery.
    NotDelivered,
}

/// How a resend ended.
#[derive(Clone, Debug)]
pub enum ResendOutcome {
    /// The message was delivered.
    Delivered,
    /// The message was not delivered.
    Failed(Box<FailedResend>),
}

impl ResendOutcome {
    /// Whether the message was delivered.
    pub fn result(&self) -> DeliveryResult {
        match self {
            ResendOutcome::Delivered => DeliveryResult::Delivered,
            ResendOutcome::Failed(_) => DeliveryResult::NotDelivered,
        }
    }
}

/// A resend that ended without delivery.
#[derive(Clone, Debug)]
pub struct FailedResend {
    /// Its attempts.
    pub attempts: Vec<Attempt>,
    /// Why it failed; none if it was handed back before that.
    pub reason: Option<Reason>,
    /// What to store if the record is gone.
    pub replacement: UnsavedRecord,
}

/// A resend in flight.
#[derive(Clone)]
pub struct PendingResend {
    /// Its record and its number.
    pub origin: ResendOrigin,
    /// What has sent it: an operator, a batch or a rule. Empty if the store does not say.
    pub sender: String,
    /// The message's name. A store that replaced a quarantined one gives the same number to another record.
    pub message_name: String,
}

impl PendingResend {
    /// Whether a record is the one that is being resent, and its resend has not ended.
    pub fn is_of(&self, record: &Record) -> bool {
        let is_sending = matches!(record.state, RecordState::Sending { .. });
        let is_same_resend = record.resends == self.origin.number;
        is_sending && is_same_resend && record.origin.name == self.message_name
    }
}

/// Whether the record under a resend's number is that of its message.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RecordMatch {
    /// It is.
    SameMessage,
    /// The number belongs to another message now.
    OtherMessage,
}

/// Applies the end of a resend to a record. A record of the same message that is in another resend, or closed, has
/// this end from before a restart, and stays as it is.
pub fn apply_outcome(
    record: &mut Record,
    pending: &PendingResend,
    outcome: &ResendOutcome,
    now: Micros,
) -> RecordMatch {
    let record_match = if record.origin.name == pending.message_name {
        RecordMatch::SameMessage
    } else {
        RecordMatch::OtherMessage
    };
    if pending.is_of(record) {
        match outcome {
            ResendOutcome::Delivered => record.resolve(Resolution::Delivered, now),
            ResendOutcome::Failed(failed) => {
                record.reopen_after_resend(failed.attempts.clone(), failed.reason)
            }
        }
    }
    record_match
}
