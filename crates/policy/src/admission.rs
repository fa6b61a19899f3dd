//! Admission: whether a message is accepted, and which ones are rejected to make room.

use std::collections::BTreeMap;

use crate::queued_message::QueuedMessage;
use crate::scheduler::Capacity;
use crate::state::DeliveryPolicy;
use crate::tuning::{
    jitter_factor, MAX_FORECAST_SECONDS, MIN_OUTAGE, QUEUE_HEADROOM_DIVISOR,
    RECOVERED_SHED_DIVISOR, RETRY_AFTER_SHARE, SECOND,
};
use crate::types::{Action, DestinationId, Message, MessageId, Micros};

/// When a destination is expected to take queued messages, in seconds.
struct ServiceForecast {
    /// Until the next message may go out.
    delay: f64,
    /// Between one message and the next.
    interval: f64,
}

/// A message that may be rejected to make room.
struct SheddingCandidate {
    id: MessageId,
    is_unattempted: bool,
    /// The deadline of one that was recovered and not attempted, otherwise the value when its turn may come.
    priority: f64,
}

impl DeliveryPolicy {
    /// Accepts a message if its tenant may have one more, and there is room or its tenant is within its share.
    pub(crate) fn admit(&mut self, message: Message, actions: &mut Vec<Action>) {
        if let Err(wait) = self.scheduler.admit(self.now, message.tenant) {
            let retry_after = if wait > 0 {
                wait
            } else {
                self.rejection_retry_after()
            };
            return actions.push(Action::Reject {
                id: message.id,
                retry_after,
            });
        }
        let capacity = self.queue_capacity();
        if self.is_full(capacity, message.size)
            && !self.scheduler.exceeds_share(message.tenant, capacity)
        {
            self.shed_load(message.size, actions);
        }
        // Perhaps nothing in the queue may be rejected to make room.
        if self.is_full(capacity, message.size) {
            let retry_after = self.rejection_retry_after();
            return actions.push(Action::Reject {
                id: message.id,
                retry_after,
            });
        }
        self.enqueue(message);
    }

    fn is_full(&self, capacity: Capacity, size: usize) -> bool {
        self.queue.len() >= capacity.messages || self.queued_bytes + size > capacity.bytes
    }

    /// Adds a message to the queue.
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

    /// How long a rejected client should stay away.
    pub(crate) fn rejection_retry_after(&mut self) -> Micros {
        let jitter = jitter_factor(self.random.next_fraction());
        (self.settings.max_retry_after as f64 * RETRY_AFTER_SHARE * jitter) as Micros
    }

    /// What the queue may hold at the end of a round: its capacity but for the headroom.
    pub(crate) fn queue_target(&self) -> Capacity {
        let reduced = |most: usize| most - (most / QUEUE_HEADROOM_DIVISOR).max(1).min(most);
        let bytes = self.settings.max_queued_bytes;
        Capacity {
            messages: reduced(self.settings.max_queued),
            bytes: if bytes == 0 {
                usize::MAX
            } else {
                reduced(bytes)
            },
        }
    }

    fn meets_target(&self, target: Capacity, wanted_bytes: usize) -> bool {
        self.queue.len() <= target.messages && self.queued_bytes + wanted_bytes <= target.bytes
    }

    /// Rejects messages until the queue has its headroom, those first whose value is least when their turn may come, or
    /// messages for destinations that are down would fill it. Of unattempted recovered ones only a part is rejected.
    pub(crate) fn shed_load(&mut self, wanted_bytes: usize, actions: &mut Vec<Action>) {
        let target = self.queue_target();
        if self.meets_target(target, wanted_bytes) {
            return;
        }
        for SheddingCandidate {
            id, is_unattempted, ..
        } in self.shedding_candidates()
        {
            if self.meets_target(target, wanted_bytes) {
                break;
            }
            let is_kept = is_unattempted
                && RECOVERED_SHED_DIVISOR * (self.recovered_shed + 1) > self.recovered_count;
            if !is_kept
                && self
                    .scheduler
                    .exceeds_share(self.queue[&id].message.tenant, target)
            {
                self.recovered_shed += usize::from(is_unattempted);
                let retry_after = self.rejection_retry_after();
                self.give_up(id, retry_after, actions);
            }
        }
    }

    /// The messages that may be rejected, in the order in which they are.
    fn shedding_candidates(&self) -> Vec<SheddingCandidate> {
        let mut forecasts: BTreeMap<DestinationId, ServiceForecast> = BTreeMap::new();
        let mut candidates = Vec::new();
        for (id, queued) in self.queue.iter().filter(|(_, queued)| queued.is_waiting()) {
            let destination = queued.message.destination;
            let forecast = forecasts
                .entry(destination)
                .or_insert_with(|| self.forecast(destination));
            forecast.delay += forecast.interval;
            if queued.first_possible_execution().is_some() {
                continue;
            }
            let turn =
                self.now + (forecast.delay.min(MAX_FORECAST_SECONDS) * SECOND as f64) as Micros;
            let is_unattempted = queued.is_unattempted();
            let priority = if is_unattempted {
                queued.message.deadline as f64
            } else {
                self.value_at(queued, turn)
            };
            candidates.push(SheddingCandidate {
                id: *id,
                is_unattempted,
                priority,
            });
        }
        candidates.sort_by(|a, b| {
            let by_priority = a
                .is_unattempted
                .cmp(&b.is_unattempted)
                .then(a.priority.total_cmp(&b.priority));
            by_priority.then(b.id.cmp(&a.id))
        });
        candidates
    }

    fn forecast(&self, destination: DestinationId) -> ServiceForecast {
        let (mut rate, mut is_down) = (0.0, true);
        for route in self
            .routes_to(destination)
            .iter()
            .filter_map(|key| self.routes.get(key))
        {
            let backoff_rate = SECOND as f64 / route.pacing.backoff.max(SECOND / 20) as f64;
            rate += route
                .pacing
                .rate
                .min(self.recovery_ramp(route))
                .min(backoff_rate);
            is_down &= !route.breaker.is_closed();
        }
        let delay = if is_down {
            MIN_OUTAGE as f64 / SECOND as f64
        } else {
            0.0
        };
        ServiceForecast {
            delay,
            interval: 1.0 / rate.max(0.1),
        }
    }
}
