//! Admission: whether a message is accepted, and when the client of a rejected message may retry.

use crate::queued_message::QueuedMessage;
use crate::scheduler::Capacity;
use crate::state::DeliveryPolicy;
use crate::tuning::{jitter_factor, RETRY_AFTER_SHARE};
use crate::types::{Action, Message, MessageId, Micros};

impl DeliveryPolicy {
    /// Accepts a message if the scheduler admits it for its tenant and the queue has capacity for it. If the queue is
    /// full and the tenant is within its share, queued messages are shed first.
    pub(crate) fn admit(&mut self, message: Message, actions: &mut Vec<Action>) {
        if let Err(tenant_wait) = self.scheduler.admit(self.now, message.tenant) {
            return self.reject(message.id, tenant_wait, actions);
        }
        let capacity = self.queue_capacity();
        if self.is_full(capacity, message.size)
            && !self.scheduler.exceeds_share(message.tenant, capacity)
        {
            self.shed_load(message.size, actions);
        }
        // Load shedding may have found no message that it may reject.
        if self.is_full(capacity, message.size) {
            return self.reject(message.id, 0, actions);
        }
        self.enqueue(message);
    }

    /// Rejects a message that was not accepted. A `retry_after` of zero stands for the policy's own Retry-After.
    fn reject(&mut self, id: MessageId, retry_after: Micros, actions: &mut Vec<Action>) {
        let retry_after = match retry_after {
            0 => self.rejection_retry_after(),
            given => given,
        };
        actions.push(Action::Reject { id, retry_after });
    }

    fn is_full(&self, capacity: Capacity, size: usize) -> bool {
        let used = self.queue_size;
        used.messages >= capacity.messages || used.bytes + size > capacity.bytes
    }

    /// Adds a message to the queue and computes when its latency objective ends.
    pub(crate) fn enqueue(&mut self, message: Message) {
        let class = self.class(&message);
        let stretch = message
            .expected_work
            .map_or(0.0, |work| work as f64 * class.objective_stretch);
        let accepted_at = message.deadline.saturating_sub(class.time_to_live);
        let objective_at =
            (accepted_at + class.latency_objective + stretch as Micros).min(message.deadline);
        let queued = QueuedMessage::new(message, objective_at, class.value);
        let key = message.ordering_key.filter(|_| class.is_ordered);
        self.scheduler.message_queued(self.now, &message);
        self.insert_message(queued, key);
    }

    /// Retry-After for the client of a rejected message, with jitter.
    pub(crate) fn rejection_retry_after(&mut self) -> Micros {
        let jitter = jitter_factor(self.random.next_fraction());
        (self.settings.max_retry_after as f64 * RETRY_AFTER_SHARE * jitter) as Micros
    }
}
