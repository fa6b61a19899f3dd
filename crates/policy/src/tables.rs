//! The tables of queued messages and calls in flight: insertion, removal and totals. This module does not decide what
//! is sent.

use crate::call::Call;
use crate::queued_message::{Attempt, AttemptState, QueuedMessage};
use crate::scheduler::Capacity;
use crate::state::DeliveryPolicy;
use crate::types::{HostId, Message, MessageId, Micros, PastAttempt, RouteKey};

impl DeliveryPolicy {
    /// Messages without a final answer whose streamed answer has not started.
    pub(crate) fn open_messages(&self) -> impl Iterator<Item = &QueuedMessage> {
        self.queue
            .values()
            .filter(|queued| !queued.is_settled && !queued.response_started)
    }

    /// Number and total bytes of the queued messages that meet `condition`.
    pub(crate) fn total_size(&self, condition: impl Fn(&QueuedMessage) -> bool) -> Capacity {
        let mut total = Capacity::default();
        for queued in self.queue.values().filter(|queued| condition(queued)) {
            total.messages += 1;
            total.bytes += queued.message.size;
        }
        total
    }

    /// The configured capacity of the queue.
    pub(crate) fn queue_capacity(&self) -> Capacity {
        let bytes = self.settings.max_queued_bytes;
        Capacity {
            messages: self.settings.max_queued,
            bytes: if bytes == 0 { usize::MAX } else { bytes },
        }
    }

    /// Adds a message to the queue, and to the order of the key `ordered_by` if there is one.
    pub(crate) fn insert_message(&mut self, queued: QueuedMessage, ordered_by: Option<u64>) {
        let Message { id, size, .. } = queued.message;
        self.queue_size.messages += 1;
        self.queue_size.bytes += size;
        if let Some(key) = ordered_by {
            self.ordered_keys
                .entry(key)
                .or_default()
                .queue
                .push_back(id);
        }
        self.queue.insert(id, queued);
    }

    /// Adds a message to the queue together with its past attempts.
    pub(crate) fn enqueue_with_attempts(&mut self, message: Message, attempts: &[PastAttempt]) {
        self.enqueue(message);
        if let Some(queued) = self.queue.get_mut(&message.id) {
            queued
                .attempts
                .extend(attempts.iter().map(Attempt::from_past));
        }
    }

    /// Records that the streamed answer of a message has started.
    pub(crate) fn start_response(&mut self, id: MessageId) {
        if let Some(queued) = self.queue.get_mut(&id) {
            queued.response_started = true;
        }
    }

    /// Marks a message as needing no further final answer, and removes it unless an attempt is in flight.
    pub(crate) fn settle(&mut self, id: MessageId) {
        let Some(queued) = self.queue.get_mut(&id) else {
            return;
        };
        queued.is_settled = true;
        if queued.is_in_flight() {
            return;
        }
        self.release_capacity(id);
        self.remove_message(id);
    }

    /// Takes a message out of the capacity of the queue and of its tenant's share. Does nothing if that has happened
    /// before.
    pub(crate) fn release_capacity(&mut self, id: MessageId) {
        let queued = self.queue.get_mut(&id);
        let Some(queued) = queued.filter(|queued| queued.uses_capacity) else {
            return;
        };
        queued.uses_capacity = false;
        let message = queued.message;
        self.queue_size.messages -= 1;
        self.queue_size.bytes -= message.size;
        self.scheduler.message_removed(&message);
    }

    /// Removes a message that uses no capacity from the queue and from the order of its key. When too many keys have
    /// accumulated, drops those without messages that are not blocked.
    fn remove_message(&mut self, id: MessageId) {
        let Some(queued) = self.queue.get(&id) else {
            return;
        };
        let key = queued.message.ordering_key;
        if let Some(order) = key.and_then(|key| self.ordered_keys.get_mut(&key)) {
            order.queue.retain(|other| *other != id);
            if self.ordered_keys.len() > 2 * self.queue.len() + self.settings.max_queued {
                let now = self.now;
                self.ordered_keys
                    .retain(|_, order| !order.queue.is_empty() || order.blocked_until > now);
            }
        }
        self.queue.remove(&id);
    }

    /// Adds an attempt of the message to the latest call and returns the message.
    pub(crate) fn add_attempt(
        &mut self,
        id: MessageId,
        host: HostId,
        expected_duration: Micros,
    ) -> Option<Message> {
        if let Some(call) = self.calls.get_mut(&self.latest_call) {
            call.pending_messages += 1;
        }
        let zone = self.hosts.get(&host)?.entry.zone;
        let queued = self.queue.get_mut(&id)?;
        queued.attempts.push(Attempt {
            sent_at: self.now,
            zone,
            call: self.latest_call,
            state: AttemptState::InFlight,
            is_cancelled: false,
            is_answered: false,
            expected_duration,
        });
        Some(queued.message)
    }

    /// Adds `call` to the calls in flight, under the number `latest_call`.
    pub(crate) fn add_call(&mut self, call: Call) {
        if let Some(host) = self.hosts.get_mut(&call.host) {
            host.in_flight += 1;
        }
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.in_flight += 1;
        }
        self.calls.insert(self.latest_call, call);
    }

    /// Removes a call that has ended.
    pub(crate) fn remove_call(&mut self, id: u64, route: RouteKey, host: HostId) {
        self.calls.remove(&id);
        if let Some(route) = self.routes.get_mut(&route) {
            route.in_flight -= 1;
        }
        if let Some(host) = self.hosts.get_mut(&host) {
            host.in_flight = host.in_flight.saturating_sub(1);
        }
    }
}
