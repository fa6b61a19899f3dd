//! Load shedding: which queued messages are rejected to free capacity.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::queued_message::QueuedMessage;
use crate::scheduler::Capacity;
use crate::state::DeliveryPolicy;
use crate::tuning::{
    FORECAST_MIN_BACKOFF, FORECAST_MIN_RATE, MAX_FORECAST_SECONDS, MIN_OUTAGE,
    QUEUE_HEADROOM_DIVISOR, RECOVERED_SHED_DIVISOR, SECOND,
};
use crate::types::{Action, DestinationId, MessageId, Micros};

/// Forecast of when a destination accepts queued messages. Times are in seconds.
struct ServiceForecast {
    /// Time until the next message may be sent.
    delay: f64,
    /// Time between one message and the next.
    interval: f64,
}

impl ServiceForecast {
    /// Absolute time at which the next message may be sent; at most [`MAX_FORECAST_SECONDS`] after `now`.
    fn next_send_at(&self, now: Micros) -> Micros {
        now + (self.delay.min(MAX_FORECAST_SECONDS) * SECOND as f64) as Micros
    }
}

/// A message that may be rejected to free capacity.
struct SheddingCandidate {
    id: MessageId,
    /// The message was recovered, and no attempt has reached a host or is in flight.
    is_unattempted: bool,
    /// The deadline of an unattempted message; otherwise its value at the time at which it is expected to be sent.
    priority: f64,
}

impl SheddingCandidate {
    /// The order of rejection: lowest priority first, with unattempted recovered messages last. Of equals, the message
    /// with the highest identifier comes first.
    fn rejection_order(&self, other: &Self) -> Ordering {
        self.is_unattempted
            .cmp(&other.is_unattempted)
            .then(self.priority.total_cmp(&other.priority))
            .then(other.id.cmp(&self.id))
    }
}

impl DeliveryPolicy {
    /// Maximum size of the queue at the end of a round: its capacity minus the headroom.
    pub(crate) fn queue_target(&self) -> Capacity {
        let without_headroom =
            |capacity: usize| capacity - (capacity / QUEUE_HEADROOM_DIVISOR).max(1).min(capacity);
        let bytes = match self.settings.max_queued_bytes {
            0 => usize::MAX,
            capacity => without_headroom(capacity),
        };
        Capacity {
            messages: without_headroom(self.settings.max_queued),
            bytes,
        }
    }

    /// Number and bytes of queued messages that cannot be rejected because they are in flight or may have been
    /// executed.
    pub(crate) fn unsheddable_size(&self) -> Capacity {
        self.total_size(|queued| queued.uses_capacity && !is_sheddable(queued))
    }

    fn meets_target(&self, target: Capacity, wanted_bytes: usize) -> bool {
        let size = self.queue_size;
        size.messages <= target.messages && size.bytes + wanted_bytes <= target.bytes
    }

    /// Rejects messages until the queue has its headroom, starting with those that will have the lowest value when they
    /// are expected to be sent. Without this, messages for destinations that are down would fill the queue. Only a part
    /// of the unattempted recovered messages is rejected.
    pub(crate) fn shed_load(&mut self, wanted_bytes: usize, actions: &mut Vec<Action>) {
        let target = self.queue_target();
        if self.meets_target(target, wanted_bytes) {
            return;
        }
        for candidate in self.shedding_candidates() {
            if self.meets_target(target, wanted_bytes) {
                break;
            }
            if !self.may_shed(&candidate, target) {
                continue;
            }
            self.recovered_shed += usize::from(candidate.is_unattempted);
            let retry_after = self.rejection_retry_after();
            self.answer_undelivered(candidate.id, retry_after, actions);
        }
    }

    /// Whether the candidate may be rejected: the rejected share of recovered messages stays within its bound, and the
    /// tenant exceeds its share of the queue.
    fn may_shed(&self, candidate: &SheddingCandidate, target: Capacity) -> bool {
        let is_kept = candidate.is_unattempted
            && RECOVERED_SHED_DIVISOR * (self.recovered_shed + 1) > self.recovered_count;
        let tenant = self.queue[&candidate.id].message.tenant;
        !is_kept && self.scheduler.exceeds_share(tenant, target)
    }

    /// The messages that may be rejected, in the order of rejection.
    fn shedding_candidates(&self) -> Vec<SheddingCandidate> {
        let mut forecasts: BTreeMap<DestinationId, ServiceForecast> = BTreeMap::new();
        let mut candidates = Vec::new();
        for (id, queued) in self.queue.iter().filter(|(_, queued)| queued.is_waiting()) {
            let destination = queued.message.destination;
            let forecast = forecasts
                .entry(destination)
                .or_insert_with(|| self.forecast(destination));
            // A message that cannot be rejected still uses up a sending interval.
            forecast.delay += forecast.interval;
            if !is_sheddable(queued) {
                continue;
            }
            let is_unattempted = queued.is_unattempted();
            let priority = if is_unattempted {
                queued.message.deadline as f64
            } else {
                self.value_at(queued, forecast.next_send_at(self.now))
            };
            candidates.push(SheddingCandidate {
                id: *id,
                is_unattempted,
                priority,
            });
        }
        candidates.sort_by(SheddingCandidate::rejection_order);
        candidates
    }

    /// Forecasts when the destination accepts messages, from the rates of its routes.
    fn forecast(&self, destination: DestinationId) -> ServiceForecast {
        let mut rate = 0.0;
        let mut is_down = true;
        let keys = self.routes_to(destination);
        for route in keys.iter().filter_map(|key| self.routes.get(key)) {
            let pacing = &route.pacing;
            let backoff_rate = SECOND as f64 / pacing.backoff.max(FORECAST_MIN_BACKOFF) as f64;
            rate += pacing.rate.min(self.recovery_ramp(route)).min(backoff_rate);
            is_down &= !route.breaker.is_closed();
        }
        let delay = if is_down {
            MIN_OUTAGE as f64 / SECOND as f64
        } else {
            0.0
        };
        ServiceForecast {
            delay,
            interval: 1.0 / rate.max(FORECAST_MIN_RATE),
        }
    }
}

/// Whether the message waits and provably was not executed.
fn is_sheddable(queued: &QueuedMessage) -> bool {
    queued.is_waiting() && queued.first_possible_execution().is_none()
}
