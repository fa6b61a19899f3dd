//! The wake-up timer: the next time at which the policy must run a round without an event.

use std::collections::BTreeSet;

use crate::queued_message::QueuedMessage;
use crate::selection::{Readiness, Urgency};
use crate::state::DeliveryPolicy;
use crate::tuning::READY_ROUTE_RECHECK;
use crate::types::{Action, Micros};

impl DeliveryPolicy {
    /// Sets a timer for the next time-dependent change, unless an earlier timer is already pending.
    pub(crate) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let next = self
            .next_poll()
            .min(self.next_message_change())
            .min(self.next_slow_call())
            .min(self.next_ready_route());
        let wake_at = next.max(now + self.settings.tick.max(1));
        let is_set_in_time = self
            .timer_at
            .is_some_and(|timer_at| timer_at <= wake_at && timer_at > now);
        if wake_at == Micros::MAX || is_set_in_time {
            return;
        }
        self.timer_at = Some(wake_at);
        actions.push(Action::SetTimer {
            delay: wake_at - now,
            token: wake_at,
        });
    }

    /// When discovery is polled next; `Micros::MAX` while its list is watched.
    fn next_poll(&self) -> Micros {
        if self.is_subscribed {
            Micros::MAX
        } else {
            self.poll_at
        }
    }

    /// When the next call in flight becomes slow; `Micros::MAX` if none will.
    fn next_slow_call(&self) -> Micros {
        self.calls
            .values()
            .filter(|call| !call.is_slow)
            .map(|call| call.slow_at)
            .fold(Micros::MAX, Micros::min)
    }

    /// When the next message is due for its final answer, or a pause of a message or of its ordering key ends.
    fn next_message_change(&self) -> Micros {
        let mut next = Micros::MAX;
        for queued in self.open_messages() {
            let deadline = queued.message.deadline;
            next = next.min(deadline.saturating_sub(self.answer_margin()));
            if !queued.is_in_flight() {
                next = next.min(self.next_attempt_allowed(queued));
            }
        }
        next
    }

    /// When the pause of a waiting message or of its ordering key ends, whichever is first; `Micros::MAX` if there is
    /// none.
    fn next_attempt_allowed(&self, queued: &QueuedMessage) -> Micros {
        let key = queued.message.ordering_key;
        let order = key.and_then(|key| self.ordered_keys.get(&key));
        let blocked_until = order.map_or(0, |order| order.blocked_until);
        [queued.not_before, blocked_until]
            .into_iter()
            .filter(|until| *until > self.now)
            .fold(Micros::MAX, Micros::min)
    }

    /// When the next route that messages wait for accepts a call.
    fn next_ready_route(&mut self) -> Micros {
        let destinations: BTreeSet<_> = self
            .open_messages()
            .filter(|queued| !queued.is_in_flight())
            .map(|queued| queued.message.destination)
            .collect();
        let keys: Vec<_> = destinations
            .into_iter()
            .flat_map(|destination| self.routes_to(destination))
            .collect();
        let mut next = Micros::MAX;
        for key in keys {
            let urgent_rate = self.routes.get(&key).map_or(0.0, |route| route.urgent_rate);
            let ready_at = match self.readiness(key, Urgency::of_rate(urgent_rate)) {
                Readiness::Ready => self.now + READY_ROUTE_RECHECK,
                Readiness::NotBefore(at) => at,
            };
            next = next.min(ready_at);
        }
        next
    }
}
