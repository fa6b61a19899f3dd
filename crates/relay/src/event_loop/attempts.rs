//! Attempts to deliver a message: starts calls to hosts, and records how they end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::response_confirmation::Credibility;
use policy::types::{
    AttemptEnd, AttemptOutcome, DestinationId, Event, HostId, Idempotency, MessageId, Micros,
};
use relay_events::{CompletedCall, SurplusResponses};
use runtime::{log, Runtime};
use tokio::sync::oneshot;
use undeliverable::Outcome;

use super::attempt_recorder::JournalAttemptRecorder;
use super::load_report::parse_load_report;
use super::persistence::log_write_error;
use super::EventLoop;
use crate::host_connections::{AttemptStart, Call, Confirmation, Repeatability};
use crate::host_directory::ListedHost;
use crate::journal::{Attempt, Journal, PendingMessage};
use crate::state_directory::RunningCall;
use crate::undeliverable_service;

/// Whether a message is still to be delivered after an attempt that was not sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageState {
    Pending,
    Ended,
}

impl<R: Runtime> EventLoop<R> {
    /// Starts an attempt. The journal has it on disk before the first byte of its request is written.
    pub(super) fn send(&mut self, now: Micros, id: MessageId, host: HostId, timeout: Micros) {
        let journal = self.journal.clone();
        let mut journal = journal.borrow_mut();
        let Some(pending) = journal.pending().get(&id) else {
            let outcome = AttemptOutcome::Obsolete;
            return self.attempt_not_sent(id, 0, host, outcome, MessageState::Ended);
        };
        let number = pending.attempts.len().min(usize::from(u8::MAX)) as u8;
        let Some(listed) = self.callable_host(host) else {
            let outcome = AttemptOutcome::NotStarted;
            return self.attempt_not_sent(id, number, host, outcome, MessageState::Pending);
        };
        let attempt = Attempt {
            sent_at: now,
            zone: listed.zone,
            may_have_executed: true,
        };
        let call = Call {
            id,
            attempt: number,
            host,
            route: listed.route,
            address: listed.address,
            name: pending.accepted.name.clone(),
            key: pending.accepted.idempotency_key.clone(),
            body: pending.accepted.body.clone(),
            repeatability: self.repeatability(pending),
            confirmation: self.confirmation(&journal),
            timeout: Duration::from_micros(timeout),
            message_deadline: self.clock.instant(pending.accepted.deadline),
            latest_start: self.idempotency_deadline(pending),
            start: self.attempt_start(id, number, attempt, host),
        };
        if let Err(error) = journal.prepare_attempt(id, number, attempt) {
            log!(self.runtime, "journal: attempt_not_recorded error={error}");
            let outcome = AttemptOutcome::Obsolete;
            return self.attempt_not_sent(id, number, host, outcome, MessageState::Pending);
        }
        self.spawn_call(call);
    }

    /// Returns the recorder for the start of an attempt.
    fn attempt_start(
        &self,
        id: MessageId,
        number: u8,
        attempt: Attempt,
        host: HostId,
    ) -> AttemptStart {
        let stores_hosts = self.undeliverable.is_some();
        let host = stores_hosts.then(|| {
            let name = self.host_directory.name_of(host);
            name.unwrap_or_default().to_owned()
        });
        AttemptStart::new(Rc::new(JournalAttemptRecorder {
            runtime: self.runtime.clone(),
            journal: Rc::downgrade(&self.journal),
            id,
            number,
            attempt,
            host,
        }))
    }

    /// Returns the host's entry in the list, if the host may be called now. The policy receives changes to the list only
    /// in its next round, so the host that it chose may be out of date.
    fn callable_host(&self, host: HostId) -> Option<ListedHost> {
        let listed = self.host_directory.find(host)?;
        let now = self.runtime.now();
        self.membership
            .borrow()
            .may_start_call(host, now)
            .then_some(listed)
    }

    /// The latest time at which a repeated call may begin: hosts keep an idempotency key only for a window after the
    /// first attempt that may have been executed. `None` if there is no such attempt or no such window.
    fn idempotency_deadline(&self, pending: &PendingMessage) -> Option<Instant> {
        let first_executed = pending
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_executed)?;
        match self.class_of(pending)?.idempotency {
            Idempotency::Keyed { window, .. } => {
                Some(self.clock.instant(first_executed.sent_at + window))
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// Whether a message may be executed twice. One whose class is unknown may not.
    fn repeatability(&self, pending: &PendingMessage) -> Repeatability {
        match self.class_of(pending).map(|class| class.idempotency) {
            Some(Idempotency::Idempotent | Idempotency::Keyed { .. }) => Repeatability::Repeatable,
            Some(Idempotency::NonIdempotent) | None => Repeatability::NotRepeatable,
        }
    }

    /// Whether outcomes may wait for a confirmation. They may not while a hand-over is due, as the new process would count
    /// each call as in flight, or while messages that wait for their end could fill the journal.
    fn confirmation(&self, journal: &Journal<R>) -> Confirmation {
        let is_filling = journal.pending_size() > journal.capacity() / 2;
        if is_filling || self.control.has_successor() {
            Confirmation::AtOnce
        } else {
            Confirmation::MayWait
        }
    }

    /// Reports to the policy that an attempt was not sent.
    fn attempt_not_sent(
        &mut self,
        id: MessageId,
        attempt: u8,
        host: HostId,
        outcome: AttemptOutcome,
        state: MessageState,
    ) {
        self.pending_events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            host,
            outcome,
            elapsed: 0,
            is_final: state == MessageState::Ended,
            load_report: Vec::new(),
        }));
    }

    fn spawn_call(&mut self, call: Call) {
        let (cancel, cancelled) = oneshot::channel();
        let running_call = RunningCall {
            attempt: call.attempt,
            host: call.host,
            cancel: Some(cancel),
        };
        self.open_calls.insert(call.id, running_call);
        let host_connections = self.host_connections.clone();
        let relay_events = self.relay_events.clone();
        self.runtime.spawn(async move {
            host_connections.call(call, cancelled, relay_events).await;
        });
    }

    /// Cancels an open call by dropping its channel. A call of the departing process has no channel here and is not
    /// cancelled.
    pub(super) fn cancel_attempt(&mut self, id: MessageId, attempt: u8) {
        let open_call = self.open_calls.get_mut(&id);
        if let Some(open_call) = open_call.filter(|open_call| open_call.attempt == attempt) {
            open_call.cancel = None;
        }
    }

    /// Passes a response that is not confirmed yet to the policy, which frees the slot of the call. A reported delivery
    /// stands unless it is taken back.
    pub(super) fn attempt_answered(&mut self, call: CompletedCall, credibility: Credibility) {
        let is_delivered = call.outcome == AttemptOutcome::Delivered;
        let is_final = is_delivered && self.may_end_provisionally(call.id);
        if is_final && credibility.may_write_end() {
            self.deliver_provisionally(call.id);
        }
        let load_report = self.read_load_report(call.load_report.as_deref());
        self.pending_events.push(Event::AttemptAnswered(AttemptEnd {
            id: call.id,
            attempt: call.attempt,
            host: call.host,
            outcome: call.outcome,
            elapsed: call.elapsed,
            is_final,
            load_report,
        }));
    }

    /// Logs responses that belong to no call, and passes the wait that they request to the policy.
    pub(super) fn surplus_received(&mut self, surplus: &SurplusResponses) {
        let name = self
            .host_directory
            .name_of(surplus.host)
            .unwrap_or_default();
        let is_reopened = surplus.reopened.is_some();
        log!(
            self.runtime,
            "hosts: surplus_responses host={name} count={} total={} call_reopened={is_reopened}",
            surplus.count,
            surplus.total
        );
        if surplus.retry_after > 0 {
            self.pending_events.push(Event::RetryAfterReceived {
                host: surplus.host,
                retry_after: surplus.retry_after,
            });
        }
    }

    /// Records how an attempt ended, and passes it to the policy.
    pub(super) fn attempt_ended(&mut self, call: CompletedCall) {
        self.call_log
            .record_call(self.clock.now(), call.id, call.opened_connection);
        self.forget_open_call(call.id, call.attempt);
        self.report_calls_end(call.id);
        let (destination, is_failed_or_gone) = {
            let journal = self.journal.borrow();
            let pending = journal.pending().get(&call.id);
            let destination = pending.map(|pending| pending.accepted.destination);
            let is_failed_or_gone = pending.is_none_or(|pending| pending.failure.is_some());
            (destination, is_failed_or_gone)
        };
        let is_final = call.is_final || is_failed_or_gone;
        if is_final {
            self.complete_message(call.id, call.outcome);
        } else {
            self.journal.borrow_mut().reopen_message(call.id);
        }
        self.journal_outcome(&call, destination);
        let load_report = call.load_report.as_deref();
        let load_report = self.read_load_report(load_report);
        self.pending_events.push(Event::AttemptEnded(AttemptEnd {
            id: call.id,
            attempt: call.attempt,
            host: call.host,
            outcome: call.outcome,
            elapsed: call.elapsed,
            is_final,
            load_report,
        }));
    }

    /// Whether a call of a message is open, in this process or in the departing one.
    pub(super) fn is_call_open(&self, id: MessageId) -> bool {
        self.open_calls.contains_key(&id) || self.directory_owner.is_call_open(id)
    }

    /// Reports to the undeliverable service that no call of a message is open any more.
    fn report_calls_end(&mut self, id: MessageId) {
        if self.is_call_open(id) {
            return;
        }
        let now = self.clock.now();
        if let Some(service) = &mut self.undeliverable {
            service.calls_ended(id, now);
        }
    }

    fn forget_open_call(&mut self, id: MessageId, attempt: u8) {
        let open_call = self.open_calls.get(&id);
        if open_call.is_some_and(|open_call| open_call.attempt == attempt) {
            self.open_calls.remove(&id);
        }
    }

    /// Writes the outcome of an attempt to the journal, or removes the message if its host reports it as complete and
    /// the undeliverable service has nothing left to write about it.
    fn journal_outcome(&mut self, call: &CompletedCall, destination: Option<DestinationId>) {
        let CompletedCall { id, attempt, .. } = *call;
        let is_not_started = call.outcome == AttemptOutcome::NotStarted;
        let may_release = is_not_started || self.report_outcome_to_service(call, destination);
        if call.is_final && may_release {
            self.release_message(id);
            return;
        }
        let mut journal = self.journal.borrow_mut();
        let written = if is_not_started {
            journal.discard_attempt(id, attempt)
        } else {
            let may_have_executed = call.outcome.may_have_executed();
            journal.record_outcome(id, attempt, may_have_executed)
        };
        log_write_error(&self.runtime, written);
    }

    /// Reports an outcome to the undeliverable service. Returns false if the service has to record the end of a
    /// resend but cannot do so yet; the journal must then keep the message.
    fn report_outcome_to_service(
        &mut self,
        call: &CompletedCall,
        destination: Option<DestinationId>,
    ) -> bool {
        let now = self.clock.now();
        if self.undeliverable.is_none() {
            return true;
        }
        let outcome = undeliverable_service::stored_outcome(call.outcome);
        self.record_host(call.id, call.attempt, call.host, outcome);
        let Some(service) = &mut self.undeliverable else {
            return true;
        };
        if service.is_resend(call.id) {
            let is_delivered = call.outcome == AttemptOutcome::Delivered;
            return !is_delivered || service.resend_delivered(call.id, now);
        }
        if let Some(destination) = destination {
            service.attempt_ended(destination, call.outcome, now);
        }
        true
    }

    /// Writes the name of an attempt's host to the journal. The undeliverable record of the message includes it if the
    /// message fails.
    fn record_host(&mut self, id: MessageId, attempt: u8, host: HostId, outcome: Outcome) {
        let name = self.host_directory.name_of(host).unwrap_or_default();
        let recorded = self
            .journal
            .borrow_mut()
            .record_host(id, attempt, name, outcome);
        log_write_error(&self.runtime, recorded);
    }

    /// The values of a load report; empty if there is no valid report.
    fn read_load_report(&self, text: Option<&str>) -> Vec<f32> {
        let names = self.config.load_report_fields.iter();
        let fields = names.zip(&self.config.settings.report_fields);
        text.and_then(|text| parse_load_report(fields, text))
            .unwrap_or_default()
    }
}
