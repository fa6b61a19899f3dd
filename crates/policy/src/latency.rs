//! Expected latency of calls: how it is learned, which calls are slow, and when attempts time out or are cancelled.

use crate::call::{Call, CallEnd};
use crate::circuit_breaker::FailureKind;
use crate::queued_message::QueuedMessage;
use crate::route::Route;
use crate::state::DeliveryPolicy;
use crate::tuning::{
    AVERAGE_WEIGHT, CLASS_WEIGHT_SHARE, KEY_WINDOW_DIVISOR, MAX_RELATIVE_LATENCY,
    MIN_RELATIVE_LATENCY, SLOW_CALL_FACTOR, SLOW_CALL_MARGIN, TIMEOUT_FACTOR, TIME_LEFT_DIVISOR,
};
use crate::types::{Action, Idempotency, Micros};

impl DeliveryPolicy {
    /// Expected duration of a call with this message on the route, in microseconds.
    pub(crate) fn expected_latency(&self, queued: &QueuedMessage, route: &Route) -> f64 {
        let class = usize::from(queued.message.class);
        let class_latency = self
            .class_latency
            .get(class)
            .unwrap_or(&self.class_latency[0]);
        class_latency * route.relative_latency
    }

    /// Updates the moving averages of the call's class and route. The average of the route is a multiple of that of the
    /// class.
    pub(crate) fn record_latency(&mut self, end: &CallEnd) {
        let class_latency = end
            .class
            .and_then(|class| self.class_latency.get_mut(class));
        let Some(mean) = class_latency else {
            return;
        };
        let Some(route) = self.routes.get_mut(&end.route) else {
            return;
        };
        let elapsed = end.elapsed as f64;
        let relative = route.relative_latency;
        let ratio = elapsed / *mean;
        *mean += AVERAGE_WEIGHT * CLASS_WEIGHT_SHARE * (elapsed / relative - *mean);
        let average = relative + AVERAGE_WEIGHT * (ratio - relative);
        route.relative_latency = average.clamp(MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
    }

    /// How long a call with this message may be in flight before it counts as slow, and therefore as failed.
    pub(crate) fn slow_call_threshold(&self, queued: &QueuedMessage, route: &Route) -> Micros {
        (SLOW_CALL_FACTOR * self.expected_latency(queued, route)) as Micros + SLOW_CALL_MARGIN
    }

    /// Counts slow calls as failed while they are still in flight, so that a hang is detected before the first
    /// time-out.
    pub(crate) fn record_slow_calls(&mut self) {
        let now = self.now;
        let slow: Vec<_> = self
            .calls
            .values_mut()
            .filter(|call| !call.is_slow && call.slow_at <= now)
            .map(Call::mark_slow)
            .collect();
        for (route, host) in slow {
            self.record_failure(route, host, FailureKind::Slow);
        }
    }

    /// Time-out of an attempt: all of the time left if the message may not be repeated; otherwise short enough to leave
    /// time for another attempt.
    pub(crate) fn attempt_timeout(&self, queued: &QueuedMessage, expected_latency: f64) -> Micros {
        let class = self.class(&queued.message);
        let time_left = queued.message.deadline.saturating_sub(self.now);
        let min_timeout = TIMEOUT_FACTOR * expected_latency * (queued.attempts.len() as f64 + 1.0);
        let min_timeout = min_timeout.max(class.latency_objective as f64) as Micros;
        let usual_timeout = min_timeout
            .max(time_left / TIME_LEFT_DIVISOR)
            .min(time_left);
        let timeout = match (class.idempotency, queued.first_possible_execution()) {
            (Idempotency::NonIdempotent, _) => time_left,
            // Leaves time for another attempt while hosts remember the key.
            (Idempotency::Keyed { window, .. }, None) if window < time_left => {
                usual_timeout.min(window / KEY_WINDOW_DIVISOR)
            }
            _ => usual_timeout,
        };
        timeout.max(1)
    }

    /// Cancels the slow attempt that has been in flight longest if at most one slot is free. With more free slots it is
    /// left in flight, as it may still be answered.
    pub(crate) fn free_slots(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.can_cancel || self.calls.len() + 1 < self.settings.max_calls {
            return;
        }
        let slow_since = |queued: &QueuedMessage| {
            let last = queued.cancellable_attempt()?;
            let call = self.calls.get(&last.call)?;
            call.is_slow.then_some(last.sent_at)
        };
        let slow = self
            .queue
            .iter()
            .filter_map(|(id, queued)| Some((slow_since(queued)?, *id)));
        let Some((_, id)) = slow.min_by_key(|(sent_at, _)| *sent_at) else {
            return;
        };
        let Some(queued) = self.queue.get_mut(&id) else {
            return;
        };
        let index = queued.attempts.len() - 1;
        actions.push(Action::Cancel {
            id,
            attempt: index as u8,
        });
        queued.attempts[index].is_cancelled = true;
    }
}
