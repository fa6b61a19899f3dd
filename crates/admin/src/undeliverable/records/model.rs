//! Bodies of requests and responses about records.

use relay_events::undeliverable::RecordView;
use serde::{Deserialize, Serialize};
use undeliverable::record::{self, Attester, ExecutionClaim, Idempotency};
use undeliverable::{Attempt, Micros, Reason, Record, RecordId, RecordState, ResendBlocked};
use utoipa::ToSchema;

use crate::undeliverable::timestamp;

const MICROS_PER_SECOND: f64 = 1e6;

/// An attempt to deliver a message.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableAttempt {
    /// When its host was chosen; the host cannot have received it before.
    #[schema(format = DateTime)]
    pub at: String,
    /// The host; null if it is not known.
    pub host: Option<String>,
    /// Its outcome.
    #[schema(value_type = String, example = "timed-out")]
    pub outcome: undeliverable::Outcome,
    /// Whether it may have been executed; false once it is known that it was not.
    pub may_have_run: bool,
    /// 0 for attempts before the message was given up, otherwise the number of the resend.
    pub resend: u32,
}

impl From<&Attempt> for UndeliverableAttempt {
    fn from(attempt: &Attempt) -> Self {
        UndeliverableAttempt {
            at: timestamp::format(attempt.sent),
            host: (!attempt.host.is_empty()).then(|| attempt.host.clone()),
            outcome: attempt.outcome,
            may_have_run: attempt.may_have_run,
            resend: attempt.resend,
        }
    }
}

/// A statement of whether a message took effect.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableStatement {
    /// The operator's name; null for the partner.
    pub operator: Option<String>,
    /// The statement: applied, not-applied or unknown.
    #[schema(value_type = String, example = "not-applied")]
    #[serde(rename = "says")]
    pub claim: ExecutionClaim,
    /// When it was asked for; it does not cover a call that could still take effect then.
    #[schema(format = DateTime)]
    pub at: String,
    /// Number of resends before the statement.
    pub resends: u32,
}

impl From<&record::Attestation> for UndeliverableStatement {
    fn from(attestation: &record::Attestation) -> Self {
        let operator = match &attestation.attester {
            Attester::Operator(name) => Some(name.clone()),
            Attester::Partner => None,
        };
        UndeliverableStatement {
            operator,
            claim: attestation.claim,
            at: timestamp::format(attestation.at),
            resends: attestation.resends,
        }
    }
}

/// A message that was given up, with its attempts and statements.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableRecord {
    /// Its number in the store.
    pub id: u64,
    /// Increases with every change; the ETag is this number in quotes.
    pub version: u32,
    /// Its state: open, claimed, sending, delivered, applied-before or discarded.
    pub state: &'static str,
    /// Who has claimed it or is resending it; null if nobody.
    pub holder: Option<String>,
    /// Until when it is claimed, or since when it is being resent or closed; null for an open record.
    #[schema(format = DateTime)]
    pub state_at: Option<String>,
    /// The message's name as it was submitted.
    pub message: String,
    /// Its tenant.
    pub tenant: String,
    /// Its class.
    pub class: String,
    /// Its destination.
    pub destination: u16,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether it may be executed more than once: safe, keyed or unsafe.
    pub effect: &'static str,
    /// For how long its key is remembered, in seconds.
    pub key_window_s: Option<f64>,
    /// Size of its body, in bytes.
    pub size: u32,
    /// When it was first given up.
    #[schema(format = DateTime)]
    pub ended_at: String,
    /// Its deadline.
    #[schema(format = DateTime)]
    pub due_at: String,
    /// Why it was last given up.
    #[schema(value_type = String, example = "out-of-time")]
    pub reason: Reason,
    /// Whether one of its attempts may have been executed.
    pub may_have_run: bool,
    /// Number of resends.
    pub resends: u32,
    /// Every attempt, in order.
    pub attempts: Vec<UndeliverableAttempt>,
    /// Statements of whether it took effect, in order.
    pub statements: Vec<UndeliverableStatement>,
    /// What is missing before it can be resent; null if it could be resent now. Absent in lists.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>, example = "needs-word")]
    pub needs: Option<Option<&'static str>>,
    /// When its last call ended; null if that is not recorded, as a call is open or the relay was restarted meanwhile.
    /// Absent in lists.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>, format = DateTime)]
    pub calls_ended_at: Option<Option<String>>,
    /// From when on a statement of not-applied may be asked for to count; null while a call is open, or if nothing can have
    /// been executed. Absent in lists.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>, format = DateTime)]
    pub word_counts_from: Option<Option<String>>,
}

impl UndeliverableRecord {
    /// A record as lists show it, without whether it could be resent now.
    pub fn in_list(id: RecordId, record: &Record) -> Self {
        let (holder, state_at) = holder_and_time(&record.state);
        let (effect, key_window) = effect_and_window(record.idempotency);
        UndeliverableRecord {
            id,
            version: record.version,
            state: record.state.as_str(),
            holder,
            state_at,
            message: record.origin.name.clone(),
            tenant: record.origin.tenant_name().into(),
            class: record.origin.class.clone(),
            destination: record.origin.destination,
            key: record.origin.idempotency_key.clone(),
            effect,
            key_window_s: key_window.map(|window| window as f64 / MICROS_PER_SECOND),
            size: record.size,
            ended_at: timestamp::format(record.given_up_at),
            due_at: timestamp::format(record.origin.deadline),
            reason: record.reason,
            may_have_run: record.may_have_run(),
            resends: record.resends,
            attempts: record.attempts.iter().map(Into::into).collect(),
            statements: record.attestations.iter().map(Into::into).collect(),
            needs: None,
            calls_ended_at: None,
            word_counts_from: None,
        }
    }
}

impl From<&RecordView> for UndeliverableRecord {
    fn from(view: &RecordView) -> Self {
        UndeliverableRecord {
            needs: Some(view.blocked.map(ResendBlocked::as_str)),
            calls_ended_at: Some(view.record.calls_ended_at.map(timestamp::format)),
            word_counts_from: Some(word_counts_from(view)),
            ..UndeliverableRecord::in_list(view.id, &view.record)
        }
    }
}

fn word_counts_from(view: &RecordView) -> Option<String> {
    let counts_from = view.attestations_count_from.filter(|from| *from > 0);
    counts_from.map(timestamp::format)
}

/// The holder of a record in this state, and the time of the state; see [`UndeliverableRecord::state_at`].
fn holder_and_time(state: &RecordState) -> (Option<String>, Option<String>) {
    let (holder, time) = match state {
        RecordState::Open => (None, None),
        RecordState::Claimed { by, until } => (Some(by), Some(until)),
        RecordState::Sending { by, since } => (Some(by), Some(since)),
        RecordState::Closed(_, since) => (None, Some(since)),
    };
    (holder.cloned(), time.copied().map(timestamp::format))
}

/// The API's term for whether a message may be executed more than once, and how long its key is remembered.
fn effect_and_window(idempotency: Idempotency) -> (&'static str, Option<Micros>) {
    match idempotency {
        Idempotency::Idempotent => ("safe", None),
        Idempotency::Keyed { window } => ("keyed", Some(window)),
        Idempotency::NonIdempotent => ("unsafe", None),
    }
}

/// A page of records.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverablePage {
    /// Records, the newest first. A page may have fewer than requested, even none, while more follow.
    pub items: Vec<UndeliverableRecord>,
    /// The cursor of the next page; null on the last page. New records do not shift it.
    pub next: Option<String>,
}

/// An operator's statement of whether a message took effect.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Attestation {
    /// The message took effect (applied), did not and will not take effect (not-applied), or it is not known (unknown).
    #[schema(value_type = String, pattern = "^(applied|not-applied|unknown)$")]
    #[serde(rename = "says")]
    pub claim: ExecutionClaim,
}
