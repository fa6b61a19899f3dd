//! A resend in flight, its outcome, and the effect of the outcome on the record.

use policy::types::Micros;
use undeliverable::record::Resolution;
use undeliverable::{Attempt, Reason, Record, RecordState};

use super::submission::UnsavedRecord;
use crate::journal::ResendOrigin;

/// Whether a resend delivered its message.
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

    /// Whether a call of the resend is still open.
    pub fn has_open_call(&self) -> bool {
        match self {
            ResendOutcome::Delivered => false,
            ResendOutcome::Failed(failed) => failed.calls_ended_at.is_none(),
        }
    }
}

/// A resend that ended without delivery.
#[derive(Clone, Debug)]
pub struct FailedResend {
    /// The attempts of the resend.
    pub attempts: Vec<Attempt>,
    /// Why the resend failed; none if it was deferred before it failed.
    pub reason: Option<Reason>,
    /// When the calls of the resend had ended; none while one is open.
    pub calls_ended_at: Option<Micros>,
    /// The record to store if the original record is gone or unreadable.
    pub replacement: UnsavedRecord,
}

impl FailedResend {
    /// Records that no call of the resend is open any more.
    pub fn record_calls_end(&mut self, ended_at: Micros) {
        self.calls_ended_at = Some(ended_at);
        self.replacement.record.record_calls_end(ended_at);
    }
}

/// A resend in flight.
#[derive(Clone)]
pub struct PendingResend {
    /// The record and the number of the resend.
    pub origin: ResendOrigin,
    /// The operator, batch or rule that sent the record. Empty if the store does not contain it.
    pub sender: String,
    /// The message's name. A store that replaces a quarantined one may give the record's number to another message.
    pub message_name: String,
}

impl PendingResend {
    /// Whether `record` is the record of this resend, and the resend has not ended.
    pub fn is_of(&self, record: &Record) -> bool {
        let is_sending = matches!(record.state, RecordState::Sending { .. });
        let is_same_resend = record.resends == self.origin.number;
        is_sending && is_same_resend && record.origin.name == self.message_name
    }
}

/// Whether the record with the number that a resend names belongs to the resent message.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RecordMatch {
    /// The record belongs to the resent message.
    SameMessage,
    /// The record belongs to another message.
    OtherMessage,
}

/// Applies the outcome of a resend to a record. A record of the same message that is closed or in another resend
/// already received this outcome before a restart, and is not changed.
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
                let attempts = failed.attempts.clone();
                record.reopen_after_resend(attempts, failed.reason, failed.calls_ended_at);
            }
        }
    }
    record_match
}
