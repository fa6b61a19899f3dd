//! The record that is stored for a message whose delivery has failed.

use policy::types::{AttemptOutcome, Class, Idempotency, Micros};
use undeliverable::record::{self, Origin};
use undeliverable::{Attempt, Outcome, Reason, Record, RecordState};

use crate::journal::{self, PendingMessage};

/// The policy may give up on a message up to this long before its deadline, in microseconds.
const DEADLINE_TOLERANCE: Micros = 100_000;

/// A message whose delivery has failed, with the facts that determine the reason.
#[derive(Clone, Copy)]
pub struct FailedMessage<'a> {
    /// The message, as stored in the journal.
    pub pending: &'a PendingMessage,
    /// The message's class; none if the settings do not contain it.
    pub class: Option<&'a Class>,
    /// Whether the message failed because its tenant was removed.
    pub is_tenant_removed: bool,
    /// Maximum number of attempts per message.
    pub max_attempts: usize,
    /// When the message failed, in microseconds since the Unix epoch.
    pub failed_at: Micros,
    /// Whether a call of the message is still open.
    pub is_call_open: bool,
}

impl FailedMessage<'_> {
    /// The record of the message.
    pub fn record(&self) -> Record {
        let message = &self.pending.accepted;
        let origin = Origin {
            name: message.name.clone(),
            tenant: message.tenant.clone(),
            class: message.class.clone(),
            destination: message.destination,
            idempotency_key: message.idempotency_key.clone(),
            ordering_key: message.ordering_key,
            deadline: message.deadline,
        };
        let idempotency = self
            .class
            .map_or(record::Idempotency::NonIdempotent, stored_idempotency);
        Record {
            origin,
            idempotency,
            size: message.body.len() as u32,
            given_up_at: self.failed_at,
            reason: self.reason(),
            attempts: self.attempts(),
            attestations: Vec::new(),
            state: RecordState::Open,
            version: 1,
            resends: 0,
            calls_ended_at: self.calls_ended_at(),
        }
    }

    /// When the calls of this delivery had ended; `None` while one is open.
    pub fn calls_ended_at(&self) -> Option<Micros> {
        (!self.is_call_open).then_some(self.failed_at)
    }

    /// Whether the message has used up its attempts.
    pub fn is_out_of_attempts(&self) -> bool {
        self.pending.attempts.len() >= self.max_attempts
    }

    /// Why the message has failed; [`Reason::NotKnown`] if its class is unknown.
    pub fn reason(&self) -> Reason {
        let Some(class) = self.class else {
            return Reason::NotKnown;
        };
        let attempts = &self.pending.attempts;
        let may_have_run = attempts.iter().any(|attempt| attempt.may_have_executed);
        let is_late = self.failed_at + DEADLINE_TOLERANCE >= self.pending.accepted.deadline;
        match class.idempotency {
            _ if self.is_tenant_removed => Reason::TenantRemoved,
            _ if is_late && attempts.is_empty() => Reason::OutOfTimeUnsent,
            _ if self.is_out_of_attempts() => Reason::AttemptsSpent,
            Idempotency::NonIdempotent if may_have_run => Reason::MayHaveRun,
            _ if is_late => Reason::OutOfTime,
            Idempotency::Keyed { .. } if may_have_run => Reason::KeyForgotten,
            _ => Reason::GivenUp,
        }
    }

    /// The attempts of this delivery, as records store them. The first attempt of a resent message may be inherited
    /// from an earlier delivery; it is left out, as the record contains it already.
    pub fn attempts(&self) -> Vec<Attempt> {
        let origin = self.pending.resend;
        let resend = origin.map_or(0, |origin| origin.number);
        let inherited = usize::from(origin.is_some_and(|origin| origin.past_attempt.is_some()));
        let attempts = self.pending.attempts.iter().enumerate().skip(inherited);
        attempts
            .map(|(index, attempt)| self.stored_attempt(index, attempt, resend))
            .collect()
    }

    fn stored_attempt(&self, index: usize, attempt: &journal::Attempt, resend: u32) -> Attempt {
        let (host, outcome) = self
            .pending
            .outcomes
            .get(&(index as u8))
            .cloned()
            .unwrap_or((String::new(), Outcome::Unknown));
        Attempt {
            sent: attempt.sent_at,
            host,
            outcome,
            may_have_run: attempt.may_have_executed,
            resend,
        }
    }
}

fn stored_idempotency(class: &Class) -> record::Idempotency {
    match class.idempotency {
        Idempotency::Idempotent => record::Idempotency::Idempotent,
        // Records do not contain the zone in which the key is known, so the key cannot prevent a second execution.
        Idempotency::Keyed {
            zone_only: true, ..
        }
        | Idempotency::NonIdempotent => record::Idempotency::NonIdempotent,
        Idempotency::Keyed { window, .. } => record::Idempotency::Keyed { window },
    }
}

/// Converts the outcome of an attempt to the form that records store.
pub fn stored_outcome(outcome: AttemptOutcome) -> Outcome {
    match outcome {
        AttemptOutcome::Delivered => Outcome::Delivered,
        AttemptOutcome::Error => Outcome::Error,
        AttemptOutcome::Rejected { .. } => Outcome::Refused,
        AttemptOutcome::Timeout => Outcome::TimedOut,
        AttemptOutcome::ConnectFailed => Outcome::NotConnected,
        AttemptOutcome::Reset | AttemptOutcome::ConnectionLost => Outcome::Broken,
        AttemptOutcome::Cancelled => Outcome::Cancelled,
        AttemptOutcome::Obsolete | AttemptOutcome::NotStarted => Outcome::NotSent,
    }
}
