//! Admission of messages: checks a client's request, and accepts the message once the policy has queued it and the
//! journal has it on disk.

use std::io;

use policy::types::{Event, Idempotency, Message, MessageId, TenantId};
use relay_events::{EnqueueRequest, Reply};
use runtime::{log, Runtime};
use tokio::sync::oneshot;

use super::persistence::log_write_error;
use super::{EventLoop, MICROS_PER_MS, RETRY_ELSEWHERE_MS};
use crate::completed_names::Repeatability;
use crate::control_socket;
use crate::in_flight::{MessageName, Submission};
use crate::journal::AcceptedMessage;

/// The Retry-After of a message that never reaches the policy is the maximum of the settings, divided by this.
const RETRY_AFTER_DIVISOR: u64 = 2;

impl<R: Runtime> EventLoop<R> {
    /// Checks a message that a client submits. A message that passes is given to the policy in the next round; any
    /// other is answered at once.
    pub(super) fn enqueue(&mut self, request: EnqueueRequest) {
        let EnqueueRequest {
            name,
            ordering_key,
            class,
            tenant,
            destination,
            deadline,
            idempotency_key,
            is_resubmitted,
            body,
            login,
            reply,
        } = request;
        let Some(reply) = reply else { return };
        if let Err(rejection) = self.tenants.check_login(&tenant, login.as_ref()) {
            return self.reject_request(&class, reply, rejection);
        }
        let message_name = MessageName::new(&tenant, &name);
        let reply = match self.in_flight.answer_duplicate(&message_name, reply) {
            Submission::New(reply) => reply,
            Submission::Duplicate => return,
            Submission::NameInUse(reply) => {
                let busy = Reply::Busy(self.default_retry_after_ms());
                return self.reject_request(&class, reply, busy);
            }
        };
        if self.control.rejects_messages() {
            return self.reject_request(&class, reply, Reply::Busy(RETRY_ELSEWHERE_MS));
        }
        let message = AcceptedMessage {
            name,
            idempotency_key,
            ordering_key,
            class,
            tenant,
            destination,
            deadline,
            is_resubmitted,
            body,
        };
        self.enqueue_new(message, reply);
    }

    /// Checks a message that is neither a duplicate nor refused by the state of the process.
    fn enqueue_new(&mut self, mut message: AcceptedMessage, reply: oneshot::Sender<Reply>) {
        let admitted = self.check_message(&message).and_then(|()| {
            self.tenants
                .admit(&message.tenant, &message.class, message.destination)
        });
        let (tenant, tenant_reference) = match admitted {
            Ok(admitted) => admitted,
            Err(rejection) => return self.reject_request(&message.class, reply, rejection),
        };
        message.tenant = tenant_reference;
        let id = self.journal.borrow_mut().next_id();
        let class = self.classes.number(&message.class);
        let received = policy_message(id, &message, tenant, class).map(Event::MessageReceived);
        self.pending_events.extend(received);
        self.in_flight.add_arriving(id, message, reply);
    }

    /// Answers a request that never reaches the policy.
    fn reject_request(&mut self, class: &str, reply: oneshot::Sender<Reply>, rejection: Reply) {
        self.control
            .metrics()
            .record_rejected(class, control_socket::message_end_for_reply(&rejection));
        drop(reply.send(rejection));
    }

    /// Checks that the class and the destination of a message are known, and that the message has an idempotency key
    /// if its class needs one.
    ///
    /// # Errors
    /// The reply for the client.
    fn check_message(&self, message: &AcceptedMessage) -> Result<(), Reply> {
        let error = |text: &str| Err(Reply::Error(text.into()));
        let Some(class) = self.classes.class_by_name(&message.class) else {
            return error("unknown class");
        };
        let needs_key = matches!(class.idempotency, Idempotency::Keyed { .. });
        if needs_key && message.idempotency_key.is_none() {
            return error("the list lacks k");
        }
        if self.host_directory.is_empty() {
            // Before the first host list no destination is known, so the message may still be valid.
            return Err(Reply::Busy(self.default_retry_after_ms()));
        }
        if !self
            .host_directory
            .is_known_destination(message.destination)
        {
            return error("unknown destination");
        }
        if self.lacks_space_for_name(class.idempotency) {
            return Err(Reply::Busy(self.default_retry_after_ms()));
        }
        Ok(())
    }

    /// Whether the name of a message could not be kept after its end, although the message must not be repeated.
    fn lacks_space_for_name(&self, idempotency: Idempotency) -> bool {
        let mut ended = self.in_flight.ended().borrow_mut();
        Repeatability::from(&idempotency) == Repeatability::NotRepeatable
            && ended.is_full(self.clock.now())
    }

    /// Retry-After for messages that never reach the policy, in milliseconds.
    fn default_retry_after_ms(&self) -> u64 {
        self.config.settings.max_retry_after / (RETRY_AFTER_DIVISOR * MICROS_PER_MS)
    }

    /// Accepts the messages that the policy has queued. Each is on disk before its client is answered.
    pub(super) fn accept_arriving(&mut self) {
        for (id, (message, replies)) in self.in_flight.take_arriving() {
            self.accept(id, message, replies);
        }
    }

    /// Writes a message to the journal. The clock's anchor is written first, as the next process needs it to interpret
    /// the deadline.
    fn record_accepted(&mut self, id: MessageId, message: AcceptedMessage) -> io::Result<()> {
        if !self.clock_anchor.ensure_written(&self.runtime, &self.clock) {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the clock's anchor is not on disk",
            ));
        }
        self.journal.borrow_mut().accept_message(id, message)
    }

    fn accept(
        &mut self,
        id: MessageId,
        message: AcceptedMessage,
        replies: Vec<oneshot::Sender<Reply>>,
    ) {
        let name = MessageName::of_message(&message);
        let tenant = message.tenant.clone();
        let class = message.class.clone();
        let reply = match self.record_accepted(id, message) {
            Ok(()) => Reply::Ok,
            Err(error) => {
                log!(self.runtime, "journal: message_not_accepted error={error}");
                Reply::Busy(self.default_retry_after_ms())
            }
        };
        let mut is_answered = false;
        for waiting in replies {
            is_answered |= waiting.send(reply.clone()).is_ok();
        }
        if reply == Reply::Ok && is_answered {
            self.control.metrics().record_accepted();
            self.tenants.message_accepted(&tenant);
            return;
        }
        // No client was told that the message is accepted, so the relay does not have to deliver it.
        let removed = self.journal.borrow_mut().withdraw_message(id);
        log_write_error(&self.runtime, removed);
        self.in_flight.remove(&name);
        self.tenants.message_rejected(&tenant);
        self.pending_events.push(Event::MessageWithdrawn(id));
        self.control
            .metrics()
            .record_rejected(&class, control_socket::message_end_for_reply(&reply));
    }
}

/// Converts a message for the policy; `None` if its class has no number.
pub(super) fn policy_message(
    id: MessageId,
    message: &AcceptedMessage,
    tenant: TenantId,
    class: Option<u16>,
) -> Option<Message> {
    Some(Message {
        id,
        class: class?,
        destination: message.destination,
        deadline: message.deadline,
        ordering_key: message.ordering_key,
        expected_work: None,
        tenant,
        is_resubmitted: message.is_resubmitted,
        size: message.journal_size(),
    })
}
