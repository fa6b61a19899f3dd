//! Restores the state of the previous process: from the journal and the cache and, after an upgrade, from the hand-over
//! state that the departing process has written.

use std::collections::BTreeMap;

use policy::types::{Event, Message, MessageId, Micros, PastAttempt, TenantId};
use policy::HandoverSnapshot;
use relay_events::{DeliveryFailure, HostList};
use runtime::{log, Runtime};

use super::admission::policy_message;
use super::host_list::HostListSource;
use super::{EventLoop, PolicyAborted};
use crate::completed_names::Repeatability;
use crate::journal::{Attempt, PendingMessage, ResendOrigin};
use crate::state_directory::{HandoverState, OpenCall};

/// The parts of the hand-over state that are restored after the host list.
#[derive(Default)]
struct DeferredHandover {
    /// Calls that are open at the departing process.
    open_calls: BTreeMap<MessageId, OpenCall>,
    /// Until when tenants have used their rates, in Unix time.
    used_rates: Vec<(String, Micros)>,
    policy: Option<HandoverSnapshot>,
}

/// What remains to be done for a message after the undeliverable store is up to date.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Remaining {
    /// Nothing: the message was a resend that has ended.
    Nothing,
    /// The message has to be delivered, or its failure notified.
    Restore,
}

impl<R: Runtime> EventLoop<R> {
    /// Restores all state, and runs the rounds that pass it to the policy.
    ///
    /// # Errors
    /// [`PolicyAborted`] from one of these rounds.
    pub(super) fn restore(&mut self, handover: Option<HandoverState>) -> Result<(), PolicyAborted> {
        let deferred = handover
            .map(|state| self.restore_handover(state))
            .unwrap_or_default();
        self.restore_host_list();
        self.restore_outages();
        if let Some(snapshot) = deferred.policy {
            // The snapshot describes routes, which the policy creates when it handles the host list.
            self.run_round()?;
            self.policy.restore_handover(snapshot);
        }
        self.restore_messages(&deferred.open_calls);
        self.restore_class_definitions();
        self.reconcile_undeliverable();
        self.run_round()?;
        self.tenants
            .restore_used_rates(&deferred.used_rates, self.policy.scheduler());
        self.declare_classes();
        Ok(())
    }

    /// Restores the parts that do not depend on the host list, and returns the others.
    fn restore_handover(&mut self, state: HandoverState) -> DeferredHandover {
        self.host_directory.adopt_numbers(state.host_numbers);
        self.in_flight
            .restore_completed(self.clock.now(), &state.completed);
        // A drain persists over an upgrade, but not over a crash.
        let is_drained = state.is_drained && self.directory_owner.took_over();
        self.control.restore_drained(is_drained);
        let open_calls = state
            .open_calls
            .into_iter()
            .map(|call| (call.id, call))
            .collect();
        DeferredHandover {
            open_calls,
            used_rates: state.used_rates,
            policy: Some(state.policy),
        }
    }

    /// Restores the newer of the configured and the cached host list. The configuration may be older than the list that
    /// the last process received, and discovery may not answer. Without the cached list, draining hosts could then get
    /// calls.
    fn restore_host_list(&mut self) {
        let mut known = std::mem::take(&mut self.config.known_hosts);
        self.host_directory
            .add_destinations(known.hosts.iter().map(|entry| entry.destination));
        if self.cached_state.list.version > known.version {
            known = self.cached_state.list.clone();
        }
        let list = HostList {
            is_full: true,
            ..known
        };
        self.apply_host_list(list, HostListSource::Cache);
        let is_confirmed = self
            .membership
            .borrow()
            .is_list_confirmed(self.runtime.now());
        self.pending_events
            .push(Event::HostsUnconfirmed(!is_confirmed));
    }

    fn restore_outages(&mut self) {
        let outages = self.cached_state.outages.iter();
        self.pending_events
            .extend(outages.map(|outage| Event::OutageRestored(*outage)));
    }

    /// Restores the messages of the journal, the open ones first, each in the order of their numbers.
    fn restore_messages(&mut self, open_calls: &BTreeMap<MessageId, OpenCall>) {
        // Copied, as restoring a message may change the journal.
        let pending = self.journal.borrow().pending().clone();
        if !pending.is_empty() {
            log!(
                self.runtime,
                "journal: messages_restored count={}",
                pending.len()
            );
        }
        // The notification of a failed message depends on the names of the open ones.
        let (failed, open): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|(_, message)| message.failure.is_some());
        for (id, message) in open.into_iter().chain(failed) {
            self.restore_message(id, message, open_calls.get(&id));
        }
    }

    fn restore_message(
        &mut self,
        id: MessageId,
        pending: PendingMessage,
        open_call: Option<&OpenCall>,
    ) {
        let tenant = self.tenants.message_restored(&pending.accepted.tenant);
        if self.restore_undeliverable(id, &pending) == Remaining::Nothing {
            return;
        }
        if let Some(failure) = pending.failure {
            let failure = self.failure_under_shared_name(&pending.accepted, failure);
            if failure == DeliveryFailure::Undeliverable
                && pending.repeatability() == Repeatability::NotRepeatable
            {
                self.in_flight.complete_pending(self.clock.now(), &pending);
            }
            self.notify_failure(id, &pending.accepted, failure);
            return;
        }
        self.in_flight.insert_restored(id, &pending.accepted);
        self.control.metrics().record_accepted();
        match self.restored_policy_message(id, &pending, tenant) {
            Some(message) => self.pass_to_policy(message, &pending.attempts, open_call),
            None => self.fail_unknown(id, &pending),
        }
    }

    /// Converts a restored message for the policy; `None` if its class or its tenant is unknown by now.
    fn restored_policy_message(
        &mut self,
        id: MessageId,
        pending: &PendingMessage,
        tenant: Option<TenantId>,
    ) -> Option<Message> {
        let accepted = &pending.accepted;
        let class = match &pending.class_version {
            Some(version) => self
                .classes
                .number_for_version(&accepted.class, &version.class),
            None => self.classes.number(&accepted.class),
        };
        policy_message(id, accepted, tenant?, class)
    }

    /// Passes a message to the policy with its past attempts. The message counts as adopted if it was handed over by a
    /// running process or its call is still open.
    fn pass_to_policy(
        &mut self,
        message: Message,
        attempts: &[Attempt],
        open_call: Option<&OpenCall>,
    ) {
        let open_host = open_call
            .filter(|call| usize::from(call.attempt) + 1 == attempts.len())
            .map(|call| call.host);
        let attempts = attempts
            .iter()
            .map(|attempt| PastAttempt {
                sent_at: attempt.sent_at,
                zone: attempt.zone,
                may_have_executed: attempt.may_have_executed,
            })
            .collect();
        let is_adopted = self.directory_owner.took_over() || open_host.is_some();
        let event = if is_adopted {
            Event::MessageAdopted {
                message,
                attempts,
                in_flight_at: open_host,
            }
        } else {
            Event::MessageRestored { message, attempts }
        };
        self.pending_events.push(event);
    }

    /// Ends a message whose class or tenant is unknown by now. It is deferred only if it cannot have been executed.
    fn fail_unknown(&mut self, id: MessageId, pending: &PendingMessage) {
        log!(
            self.runtime,
            "journal: message_not_restored reason=unknown_class_or_tenant message={}",
            pending.accepted.name
        );
        let may_have_executed = pending
            .attempts
            .iter()
            .any(|attempt| attempt.may_have_executed);
        let failure = if may_have_executed {
            DeliveryFailure::Undeliverable
        } else {
            DeliveryFailure::Deferred(0)
        };
        self.fail_message(id, failure);
    }

    /// Brings the undeliverable store up to date with the journal's record of a message.
    fn restore_undeliverable(&mut self, id: MessageId, pending: &PendingMessage) -> Remaining {
        if let Some(origin) = pending.resend {
            return self.restore_resend(id, pending, origin);
        }
        if pending.failure == Some(DeliveryFailure::Undeliverable) {
            // The previous process may have ended before the record reached the store.
            self.record_undeliverable(id, pending);
        }
        Remaining::Restore
    }

    fn restore_resend(
        &mut self,
        id: MessageId,
        pending: &PendingMessage,
        origin: ResendOrigin,
    ) -> Remaining {
        let now = self.clock.now();
        let name = &pending.accepted.name;
        let Some(service) = &mut self.undeliverable else {
            // Without a store the end of a resend cannot be recorded.
            self.release_message(id);
            return Remaining::Nothing;
        };
        if service.is_ended(&origin, name) {
            self.release_message(id);
            return Remaining::Nothing;
        }
        service.resend_restored(id, origin, name, now);
        let Some(failure) = pending.failure else {
            return Remaining::Restore;
        };
        // The journal has the failure, but the store may not.
        if self.record_failed_resend(id, pending, failure) {
            self.release_message(id);
        }
        Remaining::Nothing
    }

    /// Passes the policy the definitions of classes that only pending messages still have, before the messages
    /// themselves.
    fn restore_class_definitions(&mut self) {
        if self.classes.definitions().len() > self.config.settings.classes.len() {
            let event = self.settings_changed();
            self.pending_events.insert(0, event);
        }
    }

    fn reconcile_undeliverable(&mut self) {
        let now = self.clock.now();
        if let Some(service) = &mut self.undeliverable {
            service.reconcile(now);
        }
    }
}
