//! Resends of records: whether one may begin, which are in flight, and how each outcome is stored.
//!
//! [`attestations`] obtains and applies the statements that a resend needs, and [`settling`] delays resends until the calls
//! before them have ended.

mod attestations;
mod settling;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use bytes::Bytes;
use policy::types::{MessageId, Micros};
use runtime::Runtime;
use thiserror::Error;
use undeliverable::record::{Origin, RecordError};
use undeliverable::resend_policy::{check_resend, ResendPermit, ResendPolicy};
use undeliverable::store::StoreError;
use undeliverable::{Record, RecordId, RecordState};

use super::open_calls::OpenCalls;
use super::partner_query::PartnerQueries;
use super::resend_outcome::{
    apply_outcome, DeliveryResult, PendingResend, RecordMatch, ResendOutcome,
};
use super::settings::Settings;
use super::store_lifecycle::StoreLifecycle;
use super::submission::Submission;
use crate::journal::{self, AcceptedMessage, ResendOrigin};

/// A message to submit to the policy again.
pub struct Resend {
    /// The message's record and the number of the resend.
    pub origin: ResendOrigin,
    /// The message. Its deadline is not set yet.
    pub message: AcceptedMessage,
}

/// Which record to resend, and for whom.
pub struct ResendRequest<'a> {
    /// The record.
    pub record: RecordId,
    /// The operator, batch or rule that sends the record, as the record's state names it.
    pub sender: &'a str,
    /// The name whose claim on the record permits the resend.
    pub claimant: &'a str,
    /// Precondition: the record's current version.
    pub version: Option<u32>,
}

/// Why a resend did not begin.
#[derive(Debug, Error)]
pub enum ResendError {
    /// The store cannot be used, or the record cannot be read.
    #[error("the store cannot be used")]
    StoreUnavailable,
    /// The record may not be resent now.
    #[error(transparent)]
    Refused(#[from] RecordError),
}

/// The result of recording a resend's outcome.
pub enum RecordingResult {
    /// The message is not a resend in flight.
    NotPending,
    /// The store could not be written. [`Resender::take_unsaved_outcomes`] returns the outcome for a retry.
    Unsaved,
    /// The outcome is stored.
    Saved {
        /// The operator, batch or rule that sent the record.
        sender: String,
        /// Whether the message was delivered.
        result: DeliveryResult,
    },
}

/// Begins resends and records their ends.
pub struct Resender<R: Runtime> {
    runtime: R,
    /// The undeliverable section of the operator file.
    pub settings: Settings,
    /// The store of undeliverable messages.
    pub store: StoreLifecycle<R>,
    /// Queries of the records' partners.
    pub partner_queries: PartnerQueries<R>,
    pending: BTreeMap<MessageId, PendingResend>,
    /// Outcomes of resends that could not be written to the store.
    unsaved_outcomes: BTreeMap<MessageId, ResendOutcome>,
    /// Records whose delivery failed a short time ago, and the time before which they are not
    /// resent.
    settling_until: BTreeMap<RecordId, Instant>,
    /// Calls of this process that were open when their messages failed.
    open_calls: OpenCalls,
    /// When this process began to serve, in Unix time.
    started_at: Micros,
}

impl<R: Runtime> Resender<R> {
    /// Creates a resender without resends in flight.
    pub fn new(
        runtime: R,
        settings: Settings,
        store: StoreLifecycle<R>,
        partner_queries: PartnerQueries<R>,
        started_at: Micros,
    ) -> Self {
        Resender {
            runtime,
            settings,
            store,
            partner_queries,
            pending: BTreeMap::new(),
            unsaved_outcomes: BTreeMap::new(),
            settling_until: BTreeMap::new(),
            open_calls: OpenCalls::default(),
            started_at,
        }
    }

    /// The conditions under which a record may be resent at the time `now`.
    pub fn policy_for(&self, id: RecordId, now: Micros) -> ResendPolicy {
        let is_call_open = self.open_calls.is_open(id);
        ResendPolicy {
            earlier_calls_ended_at: (!is_call_open).then_some(self.started_at),
            ..self.policy(now)
        }
    }

    /// The conditions under which records without an open call may be resent at the time `now`.
    pub fn policy(&self, now: Micros) -> ResendPolicy {
        ResendPolicy {
            now,
            key_expiry_margin: self.settings.key_expiry_margin(),
            settle_time: self.settings.settle_time(),
            earlier_calls_ended_at: Some(self.started_at),
            attestation_validity: self.settings.attestation_validity(),
            max_resends: self.settings.max_resends,
        }
    }

    /// Whether one more resend may be in flight, in addition to those that are about to begin.
    pub fn has_capacity(&self, beginning: &[Resend]) -> bool {
        self.in_flight() + beginning.len() < self.settings.max_concurrent_resends
    }

    /// The number of resends in flight.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Whether a message is a resend in flight.
    pub fn is_resend(&self, id: MessageId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Marks a record as being sent and returns its message, if it may be resent.
    ///
    /// # Errors
    ///
    /// [`ResendError`] if the record may not be resent or cannot be read.
    pub fn begin(
        &mut self,
        request: &ResendRequest<'_>,
        now: Micros,
    ) -> Result<Resend, ResendError> {
        self.check(request, now)?;
        self.begin_checked(request, now)
    }

    /// Checks whether a record may be resent, without changing it: reading is much cheaper than a write that changes
    /// nothing.
    ///
    /// # Errors
    ///
    /// [`ResendError`] if the record may not be resent or cannot be read.
    pub fn check(&mut self, request: &ResendRequest<'_>, now: Micros) -> Result<(), ResendError> {
        let policy = self.policy_for(request.record, now);
        let found = self
            .store
            .access(|store| store.find(request.record))
            .ok_or(ResendError::StoreUnavailable)?;
        let record = found.ok_or(RecordError::NoRecord)?;
        record.check_unclaimed(request.claimant, request.version, policy.now)?;
        check_resend(&record, &policy).map_err(RecordError::ResendBlocked)?;
        if self.is_settling(request.record) {
            return Err(RecordError::Settling.into());
        }
        Ok(())
    }

    /// Marks a record that has been checked as being sent and returns its message.
    ///
    /// # Errors
    ///
    /// [`ResendError`] if the record may no longer be resent or cannot be read.
    pub fn begin_checked(
        &mut self,
        request: &ResendRequest<'_>,
        now: Micros,
    ) -> Result<Resend, ResendError> {
        let policy = self.policy_for(request.record, now);
        let begun = self
            .store
            .access(|store| {
                let Some(body) = store.body(request.record)? else {
                    return Ok(None);
                };
                let begun = store.update(request.record, |record| {
                    begin_record(record, request, &policy)
                })?;
                Ok(begun.map(|begun| begun.map(|begun| (begun, body))))
            })
            .ok_or(ResendError::StoreUnavailable)?;
        let (begun, body) = begun.ok_or(RecordError::NoRecord)??;
        Ok(begun.into_resend(request.record, body))
    }

    /// Records that the journal has accepted a resend as message `id`.
    pub fn resend_started(&mut self, id: MessageId, origin: ResendOrigin, name: &str) {
        let mut pending = PendingResend {
            origin,
            sender: String::new(),
            message_name: name.into(),
        };
        let record = self
            .store
            .access(|store| store.find(origin.record))
            .flatten()
            .filter(|record| pending.is_of(record));
        if let Some(RecordState::Sending { by, .. }) = record.map(|record| record.state) {
            pending.sender = by;
        }
        self.pending.insert(id, pending);
    }

    /// Continues a resend from the journal after a restart.
    pub fn resend_restored(
        &mut self,
        id: MessageId,
        origin: ResendOrigin,
        name: &str,
        now: Micros,
    ) {
        // If the store has lost its newest changes, the journal is authoritative.
        self.store.access(|store| {
            store.update(origin.record, |record| {
                if record.origin.name == name {
                    record.continue_resend("", origin.number, now);
                }
                Ok::<_, RecordError>(())
            })
        });
        self.resend_started(id, origin, name);
    }

    /// Reopens the record of a resend that was rejected or that the journal did not accept. Returns the resend's
    /// sender; none if the record cannot be changed.
    pub fn abort(&mut self, origin: &ResendOrigin) -> Option<String> {
        let aborted = self.store.access(|store| {
            store.update(origin.record, |record| {
                let sender = match &record.state {
                    RecordState::Sending { by, .. } => by.clone(),
                    _ => String::new(),
                };
                record.abort_resend();
                Ok::<_, RecordError>(sender)
            })
        });
        aborted.flatten()?.ok()
    }

    /// Whether the outcome of a resend is already stored, so that the resend must not be repeated.
    pub fn is_ended(&mut self, origin: &ResendOrigin, name: &str) -> bool {
        let record = self.store.access(|store| store.find(origin.record));
        record.flatten().is_some_and(|record| {
            let is_sending = matches!(record.state, RecordState::Sending { .. });
            let is_closed = matches!(record.state, RecordState::Closed(..));
            let is_past =
                record.resends > origin.number || (record.resends == origin.number && !is_sending);
            record.origin.name == name && (is_past || is_closed)
        })
    }

    /// Writes the outcome of a resend to its record.
    pub fn record_outcome(
        &mut self,
        id: MessageId,
        outcome: ResendOutcome,
        now: Micros,
        submission: &mut Submission<R>,
    ) -> RecordingResult {
        let Some(pending) = self.pending.get(&id).cloned() else {
            return RecordingResult::NotPending;
        };
        let record = pending.origin.record;
        let result = outcome.result();
        let written = self.store.get().map(|store| {
            store.update(record, |record| {
                Ok::<_, RecordError>(apply_outcome(record, &pending, &outcome, now))
            })
        });
        match written {
            Some(Ok(Some(Ok(RecordMatch::SameMessage)))) => {
                if outcome.has_open_call() {
                    self.open_calls.add(id, record);
                }
            }
            // The record cannot be read, or was in a store that is quarantined: the message is stored as a new record,
            // with the attempts that are known.
            Some(Ok(_) | Err(StoreError::Unreadable(_))) => {
                if let ResendOutcome::Failed(failed) = outcome {
                    submission.add(failed.replacement);
                    let stored = submission.flush(&mut self.store);
                    self.records_saved(&stored);
                }
            }
            unavailable => {
                if let Some(Err(error)) = unavailable {
                    self.store.mark_unavailable(&error);
                }
                self.unsaved_outcomes.insert(id, outcome);
                return RecordingResult::Unsaved;
            }
        }
        self.pending.remove(&id);
        self.settle(record);
        // An earlier answer of the partner does not cover this resend.
        self.partner_queries.forget(record);
        let sender = pending.sender;
        RecordingResult::Saved { sender, result }
    }

    /// Takes the outcomes that could not be written to the store, in the order of their message ids.
    pub fn take_unsaved_outcomes(&mut self) -> BTreeMap<MessageId, ResendOutcome> {
        std::mem::take(&mut self.unsaved_outcomes)
    }

    /// The records and numbers of the resends in flight.
    pub fn resends_in_flight(&self) -> BTreeSet<(RecordId, u32)> {
        self.pending
            .values()
            .map(|pending| (pending.origin.record, pending.origin.number))
            .collect()
    }

    /// The sender of each resend in flight.
    pub fn senders(&self) -> impl Iterator<Item = &str> {
        self.pending.values().map(|pending| pending.sender.as_str())
    }
}

/// A record that is marked as being sent.
struct BegunResend {
    permit: ResendPermit,
    number: u32,
    origin: Origin,
}

/// Marks a record as being sent. The record is checked in the same transaction, as it may have changed since it was
/// read.
fn begin_record(
    record: &mut Record,
    request: &ResendRequest<'_>,
    policy: &ResendPolicy,
) -> Result<BegunResend, RecordError> {
    record.check_unclaimed(request.claimant, request.version, policy.now)?;
    let permit = check_resend(record, policy).map_err(RecordError::ResendBlocked)?;
    let number = record.begin_resend(request.sender, policy.now);
    let origin = record.origin.clone();
    Ok(BegunResend {
        permit,
        number,
        origin,
    })
}

impl BegunResend {
    fn into_resend(self, record: RecordId, body: Vec<u8>) -> Resend {
        let past_attempt = match self.permit {
            ResendPermit::AsNew => None,
            ResendPermit::Keyed { first } => Some(journal::Attempt {
                sent_at: first,
                zone: 0,
                may_have_executed: true,
            }),
        };
        let message = AcceptedMessage {
            name: self.origin.name,
            idempotency_key: self.origin.idempotency_key,
            ordering_key: self.origin.ordering_key,
            class: self.origin.class,
            tenant: self.origin.tenant,
            destination: self.origin.destination,
            deadline: 0,
            is_resubmitted: true,
            body: Bytes::from(body),
        };
        let origin = ResendOrigin {
            record,
            number: self.number,
            past_attempt,
        };
        Resend { origin, message }
    }
}
