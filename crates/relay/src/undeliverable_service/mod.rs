//! Undeliverable messages: stores what the relay has given up on, answers front ends, and resends records.
//!
//! What may be resent is decided in [`undeliverable`]; a resend goes through the same policy, journal and hosts as any
//! other message. The order of steps keeps a resend from being made twice:
//!
//! 1. the record's state becomes `sending`, with the resend's number, and the store has that;
//! 2. the journal accepts the resend, with the record and the number;
//! 3. the resend runs its course, and the store has its end;
//! 4. the journal forgets the resend.
//!
//! A process that ends between two of them finds at its next start which steps were made: a record that is being
//! sent, of which the journal holds nothing, was not begun; what the journal holds continues.

mod batch_runner;
mod failed_message;
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
use undeliverable::record::{Attester, ExecutionClaim};
use undeliverable::RecordId;

use crate::journal::ResendOrigin;
use batch_runner::BatchRunner;
pub use failed_message::{stored_outcome, FailedMessage};
use partner_query::PartnerQueries;
pub use resend::Resend;
use resend::{Recording, Resender};
use resend_outcome::{DeliveryResult, FailedResend, ResendOutcome};
use rule_runner::RuleRunner;
pub use settings::{Settings, SettingsError};
use store_lifecycle::{Opening, StoreLifecycle};
use submission::{Submission, UnsavedRecord};

/// How often the service runs by itself.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How busy the relay is.
#[derive(Clone, Copy, Debug)]
pub struct RelayLoad {
    /// Messages queued or in flight.
    pub messages: usize,
    /// The most messages.
    pub max_messages: usize,
    /// Calls to hosts in progress.
    pub open_calls: usize,
    /// The most calls.
    pub max_calls: usize,
}

impl RelayLoad {
    /// Whether resends may begin. They leave half of the queue and half of the calls to other messages.
    fn has_spare_capacity(&self) -> bool {
        self.messages * 2 < self.max_messages.max(2) && self.open_calls * 2 < self.max_calls.max(2)
    }
}

/// What a run of the service asks of the event loop.
pub struct ServiceRun {
    /// Records to resend now.
    pub resends: Vec<Resend>,
    /// Resends whose ends the store has, so that the journal may forget them.
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
    /// Opens the store. One that cannot be used is opened again later; the relay serves all the same.
    pub fn new(runtime: R, settings: Settings, relay_events: mpsc::Sender<RelayEvent>) -> Self {
        let now = runtime.now();
        let store = StoreLifecycle::new(runtime.clone(), &settings);
        let partners = settings.partners.clone();
        let queries = PartnerQueries::new(runtime.clone(), relay_events, partners);
        let rules = RuleRunner::new(&settings);
        let mut service = UndeliverableService {
            submission: Submission::new(runtime.clone()),
            resender: Resender::new(runtime.clone(), settings, store, queries),
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
            Opening::Opened(batches) => self.batches.restore(batches),
            Opening::Failed => {}
            Opening::Quarantined => {
                self.batches.clear();
                self.rules.restart_scan();
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

    /// Brings the store in line with the journal, once all resends of the journal were restored.
    pub fn reconcile(&mut self, now: Micros) {
        reconciliation::reconcile(&mut self.resender, &mut self.batches, now);
    }

    /// Adds an undeliverable message, which the next [`UndeliverableService::flush`] stores.
    pub fn record_undeliverable(&mut self, failed: &FailedMessage<'_>) {
        self.submission.add(UnsavedRecord {
            record: failed.record(),
            body: failed.pending.accepted.body.clone(),
        });
    }

    /// Stores the undeliverable messages that were added. The journal must not forget any of them before.
    pub fn flush(&mut self) {
        let stored = self.submission.flush(&mut self.resender.store);
        if !stored.is_empty() {
            self.resender.settle(&stored);
        }
    }

    /// An attempt of a message that is no resend has ended.
    pub fn attempt_ended(&mut self, destination: u16, outcome: AttemptOutcome, now: Micros) {
        self.rules.attempt_ended(destination, outcome, now);
    }

    /// Whether a message is a resend in flight.
    pub fn is_resend(&self, id: MessageId) -> bool {
        self.resender.is_resend(id)
    }

    /// Whether the store has the end of a resend of the journal already, so that it must not be made again.
    pub fn is_ended(&mut self, origin: &ResendOrigin, name: &str) -> bool {
        self.resender.is_ended(origin, name)
    }

    /// A resend of the journal continues after a restart.
    pub fn resend_restored(
        &mut self,
        id: MessageId,
        origin: ResendOrigin,
        name: &str,
        now: Micros,
    ) {
        self.resender.resend_restored(id, origin, name, now);
    }

    /// The journal has accepted a resend under this number.
    pub fn resend_started(&mut self, id: MessageId, origin: ResendOrigin, name: &str) {
        self.resender.resend_started(id, origin, name);
    }

    /// A resend could not be handed over.
    pub fn resend_not_started(&mut self, origin: &ResendOrigin) {
        if let Some(sender) = self.resender.abort(origin) {
            self.batches
                .resend_ended(&sender, DeliveryResult::NotDelivered);
        }
    }

    /// A resend was delivered. Returns whether the store has that, so that the journal may forget the resend.
    pub fn resend_delivered(&mut self, id: MessageId, now: Micros) -> bool {
        self.record_outcome(id, ResendOutcome::Delivered, now)
    }

    /// A resend has failed or was handed back. Returns whether the store has that, so that the journal may forget the
    /// resend.
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
            replacement: UnsavedRecord {
                record: replacement.record(),
                body: original.accepted.body.clone(),
            },
        };
        let outcome = ResendOutcome::Failed(Box::new(outcome));
        self.record_outcome(id, outcome, failed.failed_at)
    }

    /// Returns whether the journal may forget a resend.
    fn record_outcome(&mut self, id: MessageId, outcome: ResendOutcome, now: Micros) -> bool {
        let submission = &mut self.submission;
        match self.resender.record_outcome(id, outcome, now, submission) {
            Recording::NotPending => true,
            Recording::Unsaved => false,
            Recording::Saved { sender, result } => {
                self.batches.resend_ended(&sender, result);
                true
            }
        }
    }

    /// A query to a partner has ended; without a claim if there was no valid answer.
    pub fn partner_query_completed(
        &mut self,
        id: RecordId,
        queried_at: Micros,
        claim: Option<ExecutionClaim>,
        now: Micros,
    ) {
        self.resender.partner_queries.query_completed(id);
        let Some(claim) = claim else { return };
        self.resender.store.access(|store| {
            store.update(id, |record| {
                record.attest(Attester::Partner, claim, queried_at, None, now)
            })
        });
        if claim == ExecutionClaim::Applied {
            self.resender.close_if_applied(id, now);
        }
        // Batches that wait for the answer continue at once.
        self.next_poll_at = self.runtime.now();
    }
}
