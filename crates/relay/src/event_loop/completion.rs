//! The end of a message: delivered, deferred or undeliverable.

use control::MessageEnd;
use policy::types::{AttemptOutcome, Class, MessageId};
use relay_events::DeliveryFailure;
use runtime::Runtime;

use super::persistence::log_write_error;
use super::EventLoop;
use crate::control_socket;
use crate::in_flight::MessageName;
use crate::journal::{AcceptedMessage, DeliveryState, PendingMessage};
use crate::undeliverable_service::FailedMessage;

impl<R: Runtime> EventLoop<R> {
    /// Handles the end of a message's last attempt: counts the end of the message, unless its failure was counted
    /// before, and remembers the name so that duplicates are recognized.
    pub(super) fn complete_message(&mut self, id: MessageId, outcome: AttemptOutcome) {
        let journal = self.journal.borrow();
        let Some(pending) = journal.pending().get(&id) else {
            return;
        };
        let is_delivered = outcome == AttemptOutcome::Delivered;
        if pending.failure.is_none() && pending.delivery == DeliveryState::NotReported {
            if is_delivered {
                self.tenants.message_delivered(&pending.accepted.tenant);
            }
            let end = if is_delivered && pending.resend.is_none() {
                MessageEnd::Success
            } else {
                MessageEnd::Other
            };
            self.control
                .metrics()
                .record_end(&pending.accepted.class, end);
        }
        self.in_flight.complete_pending(self.clock.now(), pending);
    }

    /// Whether a response that is not confirmed may end a message.
    pub(super) fn may_end_provisionally(&self, id: MessageId) -> bool {
        let journal = self.journal.borrow();
        let pending = journal.pending().get(&id);
        pending.is_some_and(PendingMessage::may_end_provisionally)
    }

    /// Counts a message as delivered and writes its end, but keeps it until its response is confirmed. Does nothing if the
    /// response may not end the message.
    pub(super) fn deliver_provisionally(&mut self, id: MessageId) {
        let mut journal = self.journal.borrow_mut();
        let pending = journal.pending().get(&id);
        let Some(pending) = pending.filter(|pending| pending.may_end_provisionally()) else {
            return;
        };
        self.tenants.message_delivered(&pending.accepted.tenant);
        self.control
            .metrics()
            .record_end(&pending.accepted.class, MessageEnd::Success);
        let now = self.clock.now();
        log_write_error(&self.runtime, journal.deliver_provisionally(id, now));
    }

    /// Ends an accepted message that the policy has failed, and notifies the platform. The failure of a resend is not
    /// notified: the platform gets one final answer for a message, and got it when the message first failed.
    pub(super) fn fail_message(&mut self, id: MessageId, failure: DeliveryFailure) {
        let pending = self.journal.borrow().pending().get(&id).cloned();
        let Some(pending) = pending else {
            return;
        };
        let is_resend = pending.resend.is_some();
        let accepted = &pending.accepted;
        let failure = self.failure_under_shared_name(accepted, failure);
        self.tenants.message_failed(&accepted.tenant, failure);
        let end = if is_resend {
            MessageEnd::Other
        } else {
            control_socket::message_end_for_failure(failure)
        };
        self.control.metrics().record_end(&accepted.class, end);
        let recorded = self.journal.borrow_mut().record_failure(id, failure);
        log_write_error(&self.runtime, recorded);
        self.in_flight.complete_pending(self.clock.now(), &pending);
        if is_resend {
            if self.record_failed_resend(id, &pending, failure) {
                self.release_message(id);
            }
            return;
        }
        if failure == DeliveryFailure::Undeliverable && self.undeliverable.is_some() {
            self.record_undeliverable(id, &pending);
        }
        self.notify_failure(id, &pending.accepted, failure);
    }

    /// Queues the notification of a failed message, whose name stays in use until the platform has accepted it.
    pub(super) fn notify_failure(
        &mut self,
        id: MessageId,
        accepted: &AcceptedMessage,
        failure: DeliveryFailure,
    ) {
        let name = MessageName::of_message(accepted);
        self.in_flight.await_notification(name);
        self.notifications.add(id, accepted.name.clone(), failure);
    }

    /// The failure to notify for a message. A deferral promises that the message was not executed, and the platform
    /// would take it for the end of any message of this name, so none is reported while another tenant's is open.
    pub(super) fn failure_under_shared_name(
        &self,
        accepted: &AcceptedMessage,
        failure: DeliveryFailure,
    ) -> DeliveryFailure {
        let name = MessageName::of_message(accepted);
        if self.in_flight.is_name_shared(&name) {
            DeliveryFailure::Undeliverable
        } else {
            failure
        }
    }

    /// Records the failure of a resend in the undeliverable store. Returns whether the journal may drop the message:
    /// false while the store cannot be written.
    pub(super) fn record_failed_resend(
        &mut self,
        id: MessageId,
        pending: &PendingMessage,
        failure: DeliveryFailure,
    ) -> bool {
        let now = self.clock.now();
        let max_attempts = self.config.settings.max_attempts;
        let class = self.class_of(pending);
        let is_call_open = self.is_call_open(id);
        let Some(service) = &mut self.undeliverable else {
            return true;
        };
        let failed = FailedMessage {
            pending,
            class: class.as_ref(),
            is_tenant_removed: false,
            max_attempts,
            failed_at: now,
            is_call_open,
        };
        service.resend_failed(id, &failed, failure)
    }

    /// Records an undeliverable message in the store, if there is one.
    pub(super) fn record_undeliverable(&mut self, id: MessageId, pending: &PendingMessage) {
        let now = self.clock.now();
        let max_attempts = self.config.settings.max_attempts;
        let class = self.class_of(pending);
        let is_tenant_removed = self.tenants.is_removed(&pending.accepted.tenant);
        let is_call_open = self.is_call_open(id);
        if let Some(service) = &mut self.undeliverable {
            let failed = FailedMessage {
                pending,
                class: class.as_ref(),
                is_tenant_removed,
                max_attempts,
                failed_at: now,
                is_call_open,
            };
            service.record_undeliverable(id, &failed);
        }
    }

    /// The class of a message as it was when the message was accepted. If the journal does not hold that definition, the
    /// one in force.
    pub(super) fn class_of(&self, pending: &PendingMessage) -> Option<Class> {
        if let Some(version) = &pending.class_version {
            return Some((*version.class).clone());
        }
        self.classes.class_by_name(&pending.accepted.class).cloned()
    }

    fn forget_notified_name(&mut self, id: MessageId) {
        let journal = self.journal.borrow();
        if let Some(pending) = journal.pending().get(&id) {
            self.in_flight
                .notified(&MessageName::of_message(&pending.accepted));
        }
    }

    /// Ends all work on messages whose notifications the platform has accepted.
    pub(super) fn notifications_accepted(&mut self, ids: Vec<MessageId>) {
        // An undeliverable message must be in the store before it is removed from the journal.
        if let Some(service) = &mut self.undeliverable {
            service.flush();
        }
        for id in ids {
            self.forget_notified_name(id);
            self.release_message(id);
        }
    }
}
