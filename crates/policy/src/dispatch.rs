//! Dispatch: the order in which waiting messages are sent, the slots they take, and the calls they make.

use std::collections::BTreeMap;

use crate::call::Call;
use crate::queued_message::{AttemptState, QueuedMessage};
use crate::retry::RepeatRisk;
use crate::scheduler::Candidate;
use crate::selection::{Readiness, Selection, Urgency};
use crate::state::DeliveryPolicy;
use crate::tuning::{DELAY_HORIZON, EARLY_OBJECTIVE_COST, SECOND, TIMEOUT_FACTOR};
use crate::types::{Action, DestinationId, Idempotency, MessageId, Micros, ValueDecay};

/// The call that a message goes out in.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallMode {
    /// A call of its own, which others may join.
    New,
    /// The latest call.
    JoinLatest,
}

impl DeliveryPolicy {
    /// Sends waiting messages, those with the highest cost of delay first, to the routes that take calls.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.waiting_messages();
        let mut candidates = self.candidates(&waiting);
        candidates.sort_by(|a, b| {
            b.cost_of_delay
                .total_cmp(&a.cost_of_delay)
                .then(a.id.cmp(&b.id))
        });
        candidates.sort_by_key(|candidate| self.dispatch_deadline(candidate.id));
        self.scheduler.order_candidates(self.now, &mut candidates);
        let target = self.queue_target();
        let is_sheddable =
            |it: &QueuedMessage| it.is_waiting() && it.first_possible_execution().is_none();
        let mut unsheddable = self.total_size(|queued| !is_sheddable(queued));
        let mut is_short_of_slots = false;
        for index in 0..candidates.len() {
            is_short_of_slots = self.calls.len() >= self.settings.max_calls;
            if is_short_of_slots {
                break;
            }
            let Candidate { id, tenant, .. } = candidates[index];
            // Tenants below their quota come first once calls in flight fill the queue.
            let is_full =
                unsheddable.messages >= target.messages || unsheddable.bytes >= target.bytes;
            if is_full && self.scheduler.must_yield(self.now, tenant, target) {
                continue;
            }
            let Some(selection) = self.select(id) else {
                continue;
            };
            let id = self.replace_by_least_risky(&candidates, &candidates[index], selection);
            if self.probes_instead(id, selection) {
                actions.push(Action::Probe(selection.host));
                continue;
            }
            self.send(id, selection, CallMode::New, actions);
            unsheddable.messages += 1;
            unsheddable.bytes += self.queue.get(&id).map_or(0, |queued| queued.message.size);
            self.fill_call(&candidates[index..], selection, actions);
        }
        self.scheduler.round_ended(is_short_of_slots);
    }

    /// The messages that may be attempted now, by destination.
    fn waiting_messages(&self) -> BTreeMap<DestinationId, Vec<MessageId>> {
        let mut waiting: BTreeMap<DestinationId, Vec<MessageId>> = BTreeMap::new();
        for (id, queued) in &self.queue {
            let may_start =
                !self.hosts_unconfirmed && queued.is_waiting() && queued.not_before <= self.now;
            if may_start && self.is_next_of_its_key(queued) {
                waiting
                    .entry(queued.message.destination)
                    .or_default()
                    .push(*id);
            }
        }
        waiting
    }

    /// Those of the waiting messages whose destinations take calls.
    fn candidates(&mut self, waiting: &BTreeMap<DestinationId, Vec<MessageId>>) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (destination, ids) in waiting {
            let urgent_rate = self.urgent_rate(ids);
            let keys = self.routes_to(*destination);
            for key in &keys {
                let Some(route) = self.routes.get_mut(key) else {
                    continue;
                };
                route.waiting_messages = ids.len();
                route.urgent_rate = urgent_rate.min(route.limit.per_second.unwrap_or(urgent_rate));
            }
            let urgency = Urgency::from(urgent_rate > 0.0);
            if keys
                .iter()
                .any(|key| self.readiness(*key, urgency) == Readiness::Ready)
            {
                candidates.extend(ids.iter().map(|id| self.candidate(&self.queue[id])));
            }
        }
        candidates
    }

    fn candidate(&self, queued: &QueuedMessage) -> Candidate {
        let (now, destination) = (self.now, queued.message.destination);
        let value = self.value_at(queued, now);
        let time_left = queued.objective_at.saturating_sub(now) as f64 / SECOND as f64;
        let loss = value - self.value_at(queued, now + DELAY_HORIZON);
        let route = self
            .routes_to(destination)
            .first()
            .and_then(|key| self.routes.get(key));
        Candidate {
            id: queued.message.id,
            tenant: queued.message.tenant,
            destination,
            cost_of_delay: loss + EARLY_OBJECTIVE_COST * value / (1.0 + time_left),
            expected_duration: route
                .map_or(0, |route| self.expected_latency(queued, route) as Micros),
        }
    }

    /// Recovered messages that were not attempted go first, by their deadlines.
    fn dispatch_deadline(&self, id: MessageId) -> Micros {
        let queued = &self.queue[&id];
        let is_first = queued.is_unattempted();
        Some(queued.message.deadline)
            .filter(|_| is_first)
            .unwrap_or(Micros::MAX)
    }

    /// Where the call is a probe that its message may not survive: the message that risks least of all that may go there.
    fn replace_by_least_risky(
        &mut self,
        candidates: &[Candidate],
        chosen: &Candidate,
        selection: Selection,
    ) -> MessageId {
        if !self
            .routes
            .get(&selection.route)
            .is_some_and(|route| route.breaker.risks_message())
        {
            return chosen.id;
        }
        let same_destination = candidates
            .iter()
            .filter(|other| other.destination == chosen.destination);
        let mut ids: Vec<_> = same_destination.map(|other| other.id).collect();
        ids.sort_by_key(|id| (self.dispatch_deadline(*id), self.repeat_risk(*id)));
        ids.into_iter()
            .find(|id| self.select(*id) == Some(selection))
            .unwrap_or(chosen.id)
    }

    /// Whether the host is probed without a message, as only non-idempotent ones wait for it.
    fn probes_instead(&mut self, id: MessageId, selection: Selection) -> bool {
        let is_unsafe =
            self.settings.can_probe && self.repeat_risk(id) >= RepeatRisk::NonIdempotent;
        let Some(route) = self.routes.get_mut(&selection.route) else {
            return false;
        };
        let probes = is_unsafe && route.breaker.risks_message();
        if probes {
            route.pacing.bucket.take();
            route.breaker.record_start();
        }
        probes
    }

    /// Adds messages to the latest call, as many as the kind of its host allows.
    fn fill_call(
        &mut self,
        candidates: &[Candidate],
        selection: Selection,
        actions: &mut Vec<Action>,
    ) {
        let Some(first) = candidates.first() else {
            return;
        };
        let host = self.hosts.get(&selection.host);
        let per_call = host.map_or(1, |host| self.kind(&host.entry).max_messages_per_call);
        let may_join = |other: &&Candidate| {
            let queued = self.queue.get(&other.id);
            other.destination == first.destination
                && queued.is_some_and(|queued| self.may_use_host(queued, selection.host))
        };
        let joining = candidates
            .iter()
            .filter(may_join)
            .take(per_call.saturating_sub(1));
        for id in joining.map(|other| other.id).collect::<Vec<_>>() {
            self.send(id, selection, CallMode::JoinLatest, actions);
        }
    }

    /// Calls a second at which the recovered messages among these are attempted before their deadlines.
    fn urgent_rate(&self, ids: &[MessageId]) -> f64 {
        let (mut count, mut total_time) = (0.0, 0.0);
        for queued in ids
            .iter()
            .map(|id| &self.queue[id])
            .filter(|queued| queued.is_urgent())
        {
            // Leaves a quarter of a second for a stall.
            let time_left = queued
                .message
                .deadline
                .saturating_sub(self.now + SECOND / 4);
            count += 1.0;
            total_time += time_left.max(self.settings.tick) as f64;
        }
        count * count / f64::max(total_time, 1.0) * SECOND as f64
    }

    /// Whether no earlier message of its ordering key is queued or may still run at a host.
    fn is_next_of_its_key(&self, queued: &QueuedMessage) -> bool {
        let key = queued
            .message
            .ordering_key
            .filter(|_| self.class(&queued.message).is_ordered);
        let Some(order) = key.and_then(|key| self.ordered_keys.get(&key)) else {
            return true;
        };
        let blocks_itself = queued
            .attempts
            .iter()
            .any(|a| a.state == AttemptState::MayHaveExecuted);
        order.queue.front() == Some(&queued.message.id)
            && (order.blocked_until <= self.now || blocks_itself)
    }

    /// Value of a delivery at this moment.
    pub(crate) fn value_at(&self, queued: &QueuedMessage, at: Micros) -> f64 {
        let (class, deadline) = (self.class(&queued.message), queued.message.deadline);
        if at >= deadline {
            return 0.0;
        }
        let late = at.saturating_sub(queued.objective_at) as f64;
        let late_span = (deadline - queued.objective_at).max(1) as f64;
        let objective = class.latency_objective.max(1) as f64;
        let share = match self.settings.decay {
            ValueDecay::Linear => 1.0 - (1.0 - class.late_value) * late / late_span,
            ValueDecay::Halving => 0.5f64.powf(late / objective).max(class.late_value),
        };
        queued.value * share
    }

    /// Time-out of an attempt: as long as it may help, with time for another one where that is allowed.
    fn attempt_timeout(&self, queued: &QueuedMessage, expected_latency: f64) -> Micros {
        let class = self.class(&queued.message);
        let time_left = queued.message.deadline.saturating_sub(self.now);
        let patience = TIMEOUT_FACTOR * expected_latency * (queued.attempts.len() as f64 + 1.0);
        let patience = patience.max(class.latency_objective as f64) as Micros;
        let patience = patience.max(time_left / 3).min(time_left);
        let timeout = match (class.idempotency, queued.first_possible_execution()) {
            (Idempotency::NonIdempotent, _) => time_left,
            // Another attempt must fit in while the key is remembered.
            (Idempotency::Keyed { window, .. }, None) if window < time_left => {
                patience.min(window / 2)
            }
            _ => patience,
        };
        timeout.max(1)
    }

    fn send(
        &mut self,
        id: MessageId,
        selection: Selection,
        mode: CallMode,
        actions: &mut Vec<Action>,
    ) {
        let Selection { route: key, host } = selection;
        let (Some(queued), Some(route)) = (self.queue.get(&id), self.routes.get(&key)) else {
            return;
        };
        let expected_latency = self.expected_latency(queued, route);
        let slow_at = self.now + self.slow_call_threshold(queued, route);
        let timeout = self.attempt_timeout(queued, expected_latency);
        if mode == CallMode::New {
            self.next_call += 1;
            let Some(route) = self.routes.get_mut(&key) else {
                return;
            };
            route.pacing.bucket.take();
            self.start_call(Call {
                route: key,
                host,
                slow_at,
                is_slow: false,
                pending_messages: 0,
            });
        }
        let expected_duration = if mode == CallMode::New {
            expected_latency as Micros
        } else {
            0
        };
        let Some(message) = self.add_attempt(id, host, expected_duration) else {
            return;
        };
        self.scheduler.call_started(&message, expected_duration);
        actions.push(Action::Send { id, host, timeout });
    }

    /// Starts the latest call.
    pub(crate) fn start_call(&mut self, call: Call) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.breaker.record_start();
        }
        self.add_call(call);
    }

    /// Once few slots are free, cancels the slow attempt that has been in flight longest; only then, as it may still be
    /// answered.
    pub(crate) fn free_slots(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.can_cancel || self.calls.len() + 1 < self.settings.max_calls {
            return;
        }
        let slow_since = |queued: &QueuedMessage| {
            let last = queued.cancellable_attempt()?;
            self.calls
                .get(&last.call)
                .filter(|call| call.is_slow)
                .map(|_| last.sent_at)
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
