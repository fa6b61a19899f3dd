//! Retry: the end of attempts, whether a message may be sent again, and its final answer if it is not delivered.

use crate::call::CallEnd;
use crate::queued_message::{AttemptState, QueuedMessage, Recovery};
use crate::state::DeliveryPolicy;
use crate::tuning::{ANSWER_MARGIN_ROUNDS, RETRY_BACKOFF, UNAVAILABLE_AFTER};
use crate::types::{
    Action, AttemptEnd, AttemptOutcome, HostId, Idempotency, Message, MessageId, Micros, RouteKey,
};

/// Risk of another attempt, from the lowest to the highest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RepeatRisk {
    Idempotent,
    KeyAlreadyUsed,
    KeyUnused,
    NonIdempotent,
    UnknownMessage,
}

impl DeliveryPolicy {
    /// Frees the slot of an attempt that was answered, and records the outcome of its call. The message stays in flight
    /// until the response is confirmed; if the response is final, it needs no other answer meanwhile.
    pub(crate) fn answer_attempt(&mut self, end: AttemptEnd) {
        let Some(queued) = self.queue.get_mut(&end.id) else {
            return;
        };
        let message = queued.message;
        let Some(attempt) = queued.attempts.get_mut(usize::from(end.attempt)) else {
            return;
        };
        if attempt.state != AttemptState::InFlight || attempt.is_answered {
            return;
        }
        attempt.is_answered = true;
        queued.is_settled |= end.is_final;
        let call = attempt.call;
        self.scheduler
            .call_ended(&message, attempt.expected_duration, end.elapsed);
        if end.outcome == AttemptOutcome::Delivered {
            self.release_capacity(end.id);
        }
        self.end_call(call, self.class_index(&message), end);
    }

    /// Honours a wait that a host requested outside the response to a call in flight.
    pub(crate) fn receive_retry_after(&mut self, host: HostId, retry_after: Micros) {
        let chance = self.random.next_fraction();
        if let Some(route) = self.route_of(host) {
            self.record_retry_after(route, retry_after, chance);
        }
    }

    /// Records the outcome of an attempt and sets the earliest time of the next one.
    pub(crate) fn end_attempt(&mut self, end: AttemptEnd) {
        let outcome = end.outcome;
        let Some(queued) = self.queue.get_mut(&end.id) else {
            return;
        };
        let attempt_count = queued.attempts.len();
        let Some(attempt) = queued.attempts.get_mut(usize::from(end.attempt)) else {
            queued.is_settled |= end.is_final;
            return;
        };
        let is_in_flight = attempt.state == AttemptState::InFlight;
        // A final response that was not confirmed leaves the message open.
        queued.is_settled &= !(is_in_flight && attempt.is_answered);
        queued.is_settled |= end.is_final;
        if !is_in_flight {
            return;
        }
        attempt.state = AttemptState::of_ended(outcome.may_have_executed());
        let call = attempt.call;
        if !attempt.is_answered {
            let expected_duration = attempt.expected_duration;
            self.scheduler
                .call_ended(&queued.message, expected_duration, end.elapsed);
        }
        if outcome == AttemptOutcome::NotStarted {
            queued.attempts.pop();
        }
        if outcome.reached_host() {
            queued.recovery = Recovery::None;
        }
        queued.not_before = self.now + retry_backoff(outcome, attempt_count);
        let message = queued.message;
        let is_settled = queued.is_settled;
        if outcome.may_still_run() {
            self.block_ordering_key(&message);
        }
        if is_settled {
            self.settle(end.id);
        }
        self.end_call(call, self.class_index(&message), end);
    }

    /// Blocks the ordering key of a message with an attempt that may still be running at its host.
    fn block_ordering_key(&mut self, message: &Message) {
        let blocked_until = self.now + self.settings.rules.ordering_delay;
        let key = message.ordering_key;
        if let Some(order) = key.and_then(|key| self.ordered_keys.get_mut(&key)) {
            order.blocked_until = order.blocked_until.max(blocked_until);
        }
    }

    /// Removes one message from a call. When the last message ends, the call ends and its outcome is recorded.
    fn end_call(&mut self, call_id: u64, class: usize, end: AttemptEnd) {
        // Drawn for every message, including those without a Retry-After.
        let chance = self.random.next_fraction();
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        call.pending_messages -= 1;
        let route = call.route;
        let was_slow = call.is_slow;
        let is_last = call.pending_messages == 0;
        if let AttemptOutcome::Rejected { retry_after } = end.outcome {
            self.record_retry_after(route, retry_after, chance);
        }
        if !is_last {
            return;
        }
        self.remove_call(call_id, route, end.host);
        self.record_load_report(end.host, &end.load_report);
        self.record_outcome(&CallEnd {
            route,
            host: end.host,
            outcome: end.outcome,
            elapsed: end.elapsed,
            was_slow,
            class: Some(class),
        });
    }

    /// Honours the Retry-After of any message of a call, regardless of the outcomes of the others; zero means none. One
    /// above [`UNAVAILABLE_AFTER`] counts as an outage.
    fn record_retry_after(&mut self, key: RouteKey, retry_after: Micros, chance: f64) {
        let now = self.now;
        let Some(route) = self.routes.get_mut(&key).filter(|_| retry_after > 0) else {
            return;
        };
        let until = now.saturating_add(retry_after + self.settings.tick);
        route.retry_after_until = route.retry_after_until.max(until);
        if retry_after > UNAVAILABLE_AFTER {
            route.record_outage(now, now, chance);
        }
    }

    /// Gives the final answer to a message that was not delivered: a rejection if provably no attempt was executed, a
    /// failure otherwise.
    pub(crate) fn answer_undelivered(
        &mut self,
        id: MessageId,
        retry_after: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(queued) = self.queue.get(&id).filter(|queued| !queued.is_settled) else {
            return;
        };
        actions.push(match queued.first_possible_execution() {
            None => Action::Reject { id, retry_after },
            Some(_) => Action::Fail(id),
        });
        self.settle(id);
    }

    /// Answers messages whose deadline is near, and those not in flight that may not be sent again.
    pub(crate) fn answer_undeliverable_messages(&mut self, actions: &mut Vec<Action>) {
        let latest_answer = self.now + self.answer_margin();
        let may_be_sent = |queued: &QueuedMessage| {
            self.may_attempt(queued) && !self.scheduler.abandons_messages(queued.message.tenant)
        };
        let is_due = |queued: &&QueuedMessage| {
            queued.message.deadline <= latest_answer
                || !queued.is_in_flight() && !may_be_sent(queued)
        };
        let due: Vec<Message> = self
            .open_messages()
            .filter(is_due)
            .map(|queued| queued.message)
            .collect();
        for Message { id, deadline, .. } in due {
            // A message that ends before its deadline may not be attempted again, but its client may submit it later.
            let retry_after = if deadline <= latest_answer {
                0
            } else {
                self.rejection_retry_after()
            };
            self.answer_undelivered(id, retry_after, actions);
        }
    }

    /// Minimum time before its deadline at which a message gets its final answer.
    pub(crate) fn answer_margin(&self) -> Micros {
        ANSWER_MARGIN_ROUNDS * self.settings.tick
    }

    /// Whether idempotency, the limit of attempts and the slots allow another attempt.
    pub(crate) fn may_attempt(&self, queued: &QueuedMessage) -> bool {
        let idempotency = self.class(&queued.message).idempotency;
        let soon = self.now + self.answer_margin();
        let is_safe = match (idempotency, queued.first_possible_execution()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::Keyed { window, .. }, Some(first)) => soon < first.sent_at + window,
        };
        is_safe && queued.attempts.len() < self.settings.max_attempts && self.settings.max_calls > 0
    }

    /// The risk of an attempt with this message.
    pub(crate) fn repeat_risk(&self, id: MessageId) -> RepeatRisk {
        let Some(queued) = self.queue.get(&id) else {
            return RepeatRisk::UnknownMessage;
        };
        let idempotency = self.class(&queued.message).idempotency;
        match (idempotency, queued.first_possible_execution()) {
            (Idempotency::Idempotent, _) => RepeatRisk::Idempotent,
            (Idempotency::Keyed { .. }, Some(_)) => RepeatRisk::KeyAlreadyUsed,
            (Idempotency::Keyed { .. }, None) => RepeatRisk::KeyUnused,
            (Idempotency::NonIdempotent, _) => RepeatRisk::NonIdempotent,
        }
    }
}

/// Pause of a message after this number of attempts. Without a pause, a message whose class always fails at some host,
/// or whose call cannot be made, would be retried in a tight loop.
fn retry_backoff(outcome: AttemptOutcome, attempt_count: usize) -> Micros {
    match outcome {
        AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::Obsolete => {
            RETRY_BACKOFF * attempt_count as u64
        }
        _ => 0,
    }
}
