//! Undeliverable messages: stores messages that the relay has given up on, answers requests of front ends, and resends
//! records.
//!
//! The crate [`undeliverable`] decides what may be resent; a resend passes through the same policy, journal and hosts
//! as any other message. The order of these steps ensures that no resend is made twice:
//!
//! 1. the record's state becomes `sending`, with the resend's number, and is written to the store;
//! 2. the journal accepts the resend, with the record and the number;
//! 3. the resend is delivered or fails, and its outcome is written to the store;
//! 4. the journal removes the resend.
//!
//! A process that ended between two steps finds at its next start which of them were completed: a record in state
//! `sending` without a resend in the journal was not begun; a resend in the journal continues.

mod batch_runner;
mod failed_message;
mod open_calls;
mod partner_client;
mod partner_query;
mod reconciliation;
mod requests;
mod resend;
mod resend_outcome;
mod rule_runner;
mod settings;
mod store_lifecycle;
mod submission;

use std::time::{Duration, Instant};

use policy::types::{AttemptOutcome, MessageId, Micros};
use relay_events::{DeliveryFailure, RelayEvent};
use runtime::Runtime;
use tokio::sync::mpsc;
use undeliverable::record::ExecutionClaim;
use undeliverable::RecordId;

use crate::journal::ResendOrigin;
use batch_runner::BatchRunner;
pub use failed_message::{stored_outcome, FailedMessage};
use partner_query::PartnerQueries;
pub use resend::Resend;
use resend::{RecordingResult, Resender};
use resend_outcome::{DeliveryResult, FailedResend, ResendOutcome};
use rule_runner::RuleRunner;
pub use settings::{Settings, SettingsError};
use store_lifecycle::{OpenResult, StoreLifecycle};
use submission::{Submission, UnsavedRecord};

/// Interval at which the service runs without a request.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The relay's current load and its limits.
#[derive(Clone, Copy, Debug)]
pub struct RelayLoad {
    /// Messages queued or in flight.
    pub messages: usize,
    /// Maximum number of messages queued or in flight.
    pub max_messages: usize,
    /// Calls to hosts in progress.
    pub open_calls: usize,
    /// Maximum number of calls in progress.
    pub max_calls: usize,
}

impl RelayLoad {
    /// Whether resends may begin. They leave half of the message limit and half of the call limit to other messages.
    fn has_spare_capacity(&self) -> bool {
        self.messages * 2 < self.max_messages.max(2) && self.open_calls * 2 < self.max_calls.max(2)
    }
}

/// Work for the event loop that results from a run of the service.
pub struct ServiceRun {
    /// Records to resend now.
    pub resends: Vec<Resend>,
    /// Resends whose outcomes are stored, so that the journal may remove them.
    pub ended: Vec<MessageId>,
}

/// The service for undeliverable messages.
pub struct UndeliverableService<R: Runtime> {
    runtime: R,
    submission: Submission<R>,
    resender: Resender<R>,
    batches: BatchRunner<R>,
    rules: RuleRunner,
    next_poll_at: Instant,
}

impl<R: Runtime> UndeliverableService<R> {
    /// Creates the service and opens the store. A store that cannot be used is opened again later; the relay serves
    /// messages meanwhile. `started_at` is the current time of the relay's clock: the calls of earlier processes have ended,
    /// or are known as open.
    pub fn new(
        runtime: R,
        settings: Settings,
        relay_events: mpsc::Sender<RelayEvent>,
        started_at: Micros,
    ) -> Self {
        let now = runtime.now();
        let store = StoreLifecycle::new(runtime.clone(), &settings);
        let partners = settings.partners.clone();
        let queries = PartnerQueries::new(runtime.clone(), relay_events, partners);
        let rules = RuleRunner::new(&settings);
        let mut service = UndeliverableService {
            submission: Submission::new(runtime.clone()),
            resender: Resender::new(runtime.clone(), settings, store, queries, started_at),
            batches: BatchRunner::new(runtime.clone()),
            rules,
            next_poll_at: now,
            runtime,
        };
        service.open_store();
        service
    }

    fn open_store(&mut self) {
        match self.resender.store.open() {
            OpenResult::Opened(batches) => self.batches.restore(batches),
            OpenResult::Failed => {}
            OpenResult::Quarantined => {
                self.batches.clear();
                self.rules.restart_scan();
                self.resender.store_replaced();
            }
        }
    }

    /// When the service is to run next.
    pub fn next_run_at(&self) -> Instant {
        self.next_poll_at
    }

    /// Maintains the store, and runs batches and rules.
    pub fn run(&mut self, now: Micros, load: RelayLoad) -> ServiceRun {
        let at = self.runtime.now();
        self.next_poll_at = at + POLL_INTERVAL;
        if self.resender.store.is_reopening_due(at) {
            self.open_store();
            self.reconcile(now);
        }
        self.flush();
        self.resender.write_call_ends();
        let ended = self.retry_unsaved_outcomes(now);
        let Resender {
            store, settings, ..
        } = &mut self.resender;
        store.evict_if_due(settings, at, now);
        let mut resends = Vec::new();
        if self.resender.store.is_available() && load.has_spare_capacity() {
            self.batches.run(&mut self.resender, now, &mut resends);
            self.rules.run(&mut self.resender, now, &mut resends);
        }
        self.batches.save_if_due(&mut self.resender.store);
        ServiceRun { resends, ended }
    }

    fn retry_unsaved_outcomes(&mut self, now: Micros) -> Vec<MessageId> {
        let outcomes = self.resender.take_unsaved_outcomes();
        let mut ended = Vec::new();
        for (id, outcome) in outcomes {
            if self.record_outcome(id, outcome, now) {
                ended.push(id);
            }
        }
        ended
    }

    /// Reconciles the store with the journal. All resends in the journal must have been restored before.
    pub fn reconcile(&mut self, now: Micros) {
        reconciliation::reconcile(&mut self.resender, &mut self.batches, now);
    }

    /// Adds an undeliverable message, which the next [`UndeliverableService::flush`] stores.
    pub fn record_undeliverable(&mut self, id: MessageId, failed: &FailedMessage<'_>) {
        self.submission.add(UnsavedRecord {
            message: id,
            record: failed.record(),
            body: failed.pending.accepted.body.clone(),
        });
    }

    /// Stores the undeliverable messages that were added. The journal must not remove any of them before.
    pub fn flush(&mut self) {
        let stored = self.submission.flush(&mut self.resender.store);
        self.resender.records_saved(&stored);
    }

    /// Records that no call of a message is open any more. Only matters for a message that failed with an open call.
    pub fn calls_ended(&mut self, id: MessageId, now: Micros) {
        if !self.submission.record_calls_end(id, now) {
            self.resender.calls_ended(id, now);
        }
    }

    /// Records the outcome of an attempt of a message that is not a resend.
    pub fn attempt_ended(&mut self, destination: u16, outcome: AttemptOutcome, now: Micros) {
        self.rules.attempt_ended(destination, outcome, now);
    }

    /// Whether a message is a resend in flight.
    pub fn is_resend(&self, id: MessageId) -> bool {
        self.resender.is_resend(id)
    }

    /// Whether the outcome of a resend in the journal is already stored, so that the resend must not be repeated.
    pub fn is_ended(&mut self, origin: &ResendOrigin, name: &str) -> bool {
        self.resender.is_ended(origin, name)
    }

    /// Continues a resend from the journal after a restart.
    pub fn resend_restored(
        &mut self,
        id: MessageId,
        origin: ResendOrigin,
        name: &str,
        now: Micros,
    ) {
        self.resender.resend_restored(id, origin, name, now);
    }

    /// Records that the journal has accepted a resend as message `id`.
    pub fn resend_started(&mut self, id: MessageId, origin: ResendOrigin, name: &str) {
        self.resender.resend_started(id, origin, name);
    }

    /// Reopens the record of a resend that was rejected or that the journal did not accept.
    pub fn resend_not_started(&mut self, origin: &ResendOrigin) {
        if let Some(sender) = self.resender.abort(origin) {
            self.batches
                .resend_ended(&sender, DeliveryResult::NotDelivered);
        }
    }

    /// Records that a resend was delivered. Returns whether the outcome is stored, so that the journal may remove the
    /// resend.
    pub fn resend_delivered(&mut self, id: MessageId, now: Micros) -> bool {
        self.record_outcome(id, ResendOutcome::Delivered, now)
    }

    /// Records that a resend has failed or was deferred. Returns whether the outcome is stored, so that the journal may
    /// remove the resend.
    pub fn resend_failed(
        &mut self,
        id: MessageId,
        failed: &FailedMessage<'_>,
        failure: DeliveryFailure,
    ) -> bool {
        let has_failed = failure == DeliveryFailure::Undeliverable || failed.is_out_of_attempts();
        let mut original = failed.pending.clone();
        original.resend = None;
        let replacement = FailedMessage {
            pending: &original,
            ..*failed
        };
        let outcome = FailedResend {
            attempts: failed.attempts(),
            reason: has_failed.then(|| failed.reason()),
            calls_ended_at: failed.calls_ended_at(),
            replacement: UnsavedRecord {
                message: id,
                record: replacement.record(),
                body: original.accepted.body.clone(),
            },
        };
        let outcome = ResendOutcome::Failed(Box::new(outcome));
        self.record_outcome(id, outcome, failed.failed_at)
    }

    /// Records the outcome of a resend. Returns whether the journal may remove the resend.
    fn record_outcome(&mut self, id: MessageId, outcome: ResendOutcome, now: Micros) -> bool {
        let submission = &mut self.submission;
        match self.resender.record_outcome(id, outcome, now, submission) {
            RecordingResult::NotPending => true,
            RecordingResult::Unsaved => false,
            RecordingResult::Saved { sender, result } => {
                self.batches.resend_ended(&sender, result);
                true
            }
        }
    }

    /// Records the answer to a partner query; `claim` is none if there was no valid answer.
    pub fn partner_query_completed(
        &mut self,
        id: RecordId,
        queried_at: Micros,
        claim: Option<ExecutionClaim>,
        now: Micros,
    ) {
        self.resender.partner_queries.query_completed(id);
        let Some(claim) = claim else { return };
        self.resender.attest_for_partner(id, claim, queried_at, now);
        if claim == ExecutionClaim::Applied {
            self.resender.close_if_applied(id, now);
        }
        // Batches that wait for the answer continue immediately.
        self.next_poll_at = self.runtime.now();
    }
}
