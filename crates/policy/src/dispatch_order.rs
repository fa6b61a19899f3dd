//! Dispatch order: which waiting messages may be attempted, and in which order.

use std::collections::BTreeMap;

use crate::queued_message::{AttemptState, QueuedMessage};
use crate::route::Route;
use crate::scheduler::Candidate;
use crate::selection::{Readiness, Urgency};
use crate::state::DeliveryPolicy;
use crate::tuning::{SECOND, STALL_RESERVE};
use crate::types::{DestinationId, MessageId, Micros, RouteKey};

impl DeliveryPolicy {
    /// The messages to send while slots are free, in dispatch order. Restored messages that have not been attempted
    /// come first, by deadline; all others follow by cost of delay. The tenant scheduler then reorders the list by the
    /// tenants' shares.
    pub(crate) fn ordered_candidates(&mut self) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (destination, ids) in self.waiting_messages() {
            let keys = self.routes_to(destination);
            self.record_backlog(&ids, &keys);
            self.mark_unreachable(&ids, &keys);
            candidates.extend(self.candidates(&ids, &keys));
        }
        candidates.sort_by(|a, b| {
            b.cost_of_delay
                .total_cmp(&a.cost_of_delay)
                .then(a.id.cmp(&b.id))
        });
        candidates.sort_by_key(|candidate| self.dispatch_deadline(candidate.id));
        self.scheduler.order_candidates(self.now, &mut candidates);
        candidates
    }

    /// Messages that may be attempted now, grouped by destination.
    fn waiting_messages(&self) -> BTreeMap<DestinationId, Vec<MessageId>> {
        let mut waiting: BTreeMap<DestinationId, Vec<MessageId>> = BTreeMap::new();
        for (id, queued) in &self.queue {
            let may_start =
                !self.hosts_unconfirmed && queued.is_waiting() && queued.not_before <= self.now;
            if may_start && self.is_next_of_its_key(queued) {
                let destination = queued.message.destination;
                waiting.entry(destination).or_default().push(*id);
            }
        }
        waiting
    }

    /// Updates the routes' records of the messages `ids`, which wait for their destination.
    fn record_backlog(&mut self, ids: &[MessageId], keys: &[RouteKey]) {
        let deadlines = ids.iter().map(|id| self.queue[id].message.deadline);
        let longest_time_left = deadlines.max().unwrap_or(0).saturating_sub(self.now);
        for key in keys {
            if let Some(route) = self.routes.get_mut(key) {
                route.waiting_messages = ids.len().div_ceil(keys.len());
                route.waiting_lifetime = longest_time_left;
            }
        }
    }

    /// Marks the recovered messages among `ids` that cannot be called in time. Without this, a destination that warms up
    /// would get calls only with messages whose deadlines are about to pass.
    fn mark_unreachable(&mut self, ids: &[MessageId], keys: &[RouteKey]) {
        if self.recovered_count == 0 {
            return;
        }
        let mut recovered: Vec<_> = ids
            .iter()
            .copied()
            .filter(|id| self.queue[id].is_unattempted_since_restart())
            .collect();
        recovered.sort_by_key(|id| (self.queue[id].message.deadline, *id));
        let unreachable = self.unreachable_count(&recovered, keys);
        for (index, id) in recovered.into_iter().enumerate() {
            if let Some(queued) = self.queue.get_mut(&id) {
                queued.is_unreachable = index < unreachable;
            }
        }
    }

    /// The messages `ids`, which wait for one destination, if it accepts calls. Also updates the urgent rates of its
    /// routes.
    fn candidates(&mut self, ids: &[MessageId], keys: &[RouteKey]) -> Vec<Candidate> {
        let urgent_rate = self.urgent_rate(ids);
        for key in keys {
            if let Some(route) = self.routes.get_mut(key) {
                route.urgent_rate = urgent_rate.min(route.limit.per_second.unwrap_or(urgent_rate));
            }
        }
        let urgency = Urgency::of_rate(urgent_rate);
        let takes_calls = keys
            .iter()
            .any(|key| self.readiness(*key, urgency) == Readiness::Ready);
        if !takes_calls {
            return Vec::new();
        }
        let route = keys.first().and_then(|key| self.routes.get(key));
        let queued = ids.iter().map(|id| &self.queue[id]);
        queued.map(|queued| self.candidate(queued, route)).collect()
    }

    /// A message that may be attempted. `route` is the first route to its destination.
    fn candidate(&self, queued: &QueuedMessage, route: Option<&Route>) -> Candidate {
        Candidate {
            id: queued.message.id,
            tenant: queued.message.tenant,
            destination: queued.message.destination,
            cost_of_delay: self.cost_of_delay(queued),
            expected_duration: route
                .map_or(0, |route| self.expected_latency(queued, route) as Micros),
        }
    }

    /// The deadline of a restored message that has not been attempted, as these are sent first; `Micros::MAX` for all
    /// others.
    pub(crate) fn dispatch_deadline(&self, id: MessageId) -> Micros {
        let queued = &self.queue[&id];
        if queued.is_unattempted_since_restart() && !queued.is_unreachable {
            queued.message.deadline
        } else {
            Micros::MAX
        }
    }

    /// Calls per second needed to attempt the recovered messages among these before their deadlines.
    fn urgent_rate(&self, ids: &[MessageId]) -> f64 {
        let mut count = 0.0;
        let mut total_time = 0.0;
        let queued = ids.iter().map(|id| &self.queue[id]);
        for queued in queued.filter(|queued| queued.urgency() == Urgency::Recovered) {
            let latest_start = self.now + STALL_RESERVE;
            let time_left = queued.message.deadline.saturating_sub(latest_start);
            count += 1.0;
            total_time += time_left.max(self.settings.tick) as f64;
        }
        count * count / f64::max(total_time, 1.0) * SECOND as f64
    }

    /// Whether no earlier message with the same ordering key is queued or may still be running at a host.
    fn is_next_of_its_key(&self, queued: &QueuedMessage) -> bool {
        let is_ordered = self.class(&queued.message).is_ordered;
        let key = queued.message.ordering_key.filter(|_| is_ordered);
        let Some(order) = key.and_then(|key| self.ordered_keys.get(&key)) else {
            return true;
        };
        let blocks_itself = queued
            .attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::MayHaveExecuted);
        order.queue.front() == Some(&queued.message.id)
            && (order.blocked_until <= self.now || blocks_itself)
    }
}
