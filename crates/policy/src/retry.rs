//! Retry: how attempts end, whether a message may be sent again, and its final answer if it is not delivered.

use crate::call::CallEnd;
use crate::queued_message::{AttemptState, QueuedMessage};
use crate::state::DeliveryPolicy;
use crate::tuning::{RETRY_BACKOFF, UNAVAILABLE_AFTER};
use crate::types::{Action, AttemptEnd, AttemptOutcome, Idempotency, MessageId, Micros};

/// What another attempt risks, the least first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RepeatRisk {
    Idempotent,
    KeyAlreadyUsed,
    KeyUnused,
    NonIdempotent,
    UnknownMessage,
}

impl DeliveryPolicy {
    /// Records what became of an attempt, and when the next may start.
    pub(crate) fn end_attempt(&mut self, end: AttemptEnd) {
        let (now, outcome) = (self.now, end.outcome);
        let Some(queued) = self.queue.get_mut(&end.id) else {
            return;
        };
        queued.is_settled |= end.is_final;
        let attempt_count = queued.attempts.len();
        let attempt = queued.attempts.get_mut(usize::from(end.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.state == AttemptState::InFlight)
        else {
            return;
        };
        attempt.state = AttemptState::of_ended(outcome.may_have_executed());
        let call = attempt.call;
        self.scheduler
            .call_ended(&queued.message, attempt.expected_duration, end.elapsed);
        queued
            .attempts
            .truncate(attempt_count - usize::from(outcome == AttemptOutcome::NotStarted));
        queued.is_recovered &= !outcome.reached_host();
        // A class that always fails somewhere, or a call that can't be made, must not be repeated without a pause.
        let is_error = matches!(
            outcome,
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::Obsolete
        );
        let backoff = if is_error {
            RETRY_BACKOFF * attempt_count as u64
        } else {
            0
        };
        queued.not_before = now + backoff;
        let key = queued
            .message
            .ordering_key
            .filter(|_| outcome.may_still_run());
        if let Some(order) = key.and_then(|key| self.ordered_keys.get_mut(&key)) {
            order.blocked_until = order
                .blocked_until
                .max(now + self.settings.rules.ordering_delay);
        }
        let (message, is_settled) = (queued.message, queued.is_settled);
        if is_settled {
            self.settle(end.id);
        }
        self.end_call(call, self.class_index(&message), end);
    }

    /// Takes one message out of a call; with the last one the call's outcome counts.
    fn end_call(&mut self, call_id: u64, class: usize, end: AttemptEnd) {
        let (now, chance) = (self.now, self.random.next_fraction());
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        call.pending_messages -= 1;
        let (key, was_slow, is_last) = (call.route, call.is_slow, call.pending_messages == 0);
        if let Some(route) = self.routes.get_mut(&key) {
            route.in_flight -= usize::from(is_last);
            // The wait of any message of a call binds, whatever became of the others.
            if let AttemptOutcome::Rejected {
                retry_after: wait @ 1..,
            } = end.outcome
            {
                let until = now.saturating_add(wait + self.settings.tick);
                route.retry_after_until = route.retry_after_until.max(until);
                if wait > UNAVAILABLE_AFTER {
                    route.record_outage(now, chance);
                }
            }
        }
        if !is_last {
            return;
        }
        self.remove_call(call_id, end.host);
        self.record_load_report(end.host, &end.load_report);
        let AttemptEnd {
            host,
            outcome,
            elapsed,
            ..
        } = end;
        self.record_outcome(&CallEnd {
            route: key,
            host,
            outcome,
            elapsed,
            was_slow,
            class: Some(class),
        });
    }

    /// Gives the final answer without a delivery: a rejection only where provably nothing was executed.
    pub(crate) fn give_up(
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

    /// Answers messages whose deadline is near, and at once those that may not be sent any more.
    pub(crate) fn give_up_undeliverable(&mut self, actions: &mut Vec<Action>) {
        let limit = self.now + 2 * self.settings.tick;
        let has_ended = |queued: &QueuedMessage| {
            !self.may_attempt(queued) || self.scheduler.abandons_messages(queued.message.tenant)
        };
        let is_due = |queued: &&QueuedMessage| {
            queued.message.deadline <= limit || !queued.is_in_flight() && has_ended(queued)
        };
        let due = self
            .open_messages()
            .filter(is_due)
            .map(|queued| (queued.message.id, queued.message.deadline));
        let due: Vec<_> = due.collect();
        for (id, deadline) in due {
            // One that ends before its deadline has used up its attempts: its client may come again.
            let retry_after = if deadline <= limit {
                0
            } else {
                self.rejection_retry_after()
            };
            self.give_up(id, retry_after, actions);
        }
    }

    /// Whether idempotency and the limit of attempts allow another attempt.
    pub(crate) fn may_attempt(&self, queued: &QueuedMessage) -> bool {
        let (class, soon) = (
            self.class(&queued.message),
            self.now + 2 * self.settings.tick,
        );
        let is_safe = match (class.idempotency, queued.first_possible_execution()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::Keyed { window, .. }, Some(first)) => soon < first.sent_at + window,
        };
        is_safe && queued.attempts.len() < self.settings.max_attempts && self.settings.max_calls > 0
    }

    /// What an attempt with this message risks.
    pub(crate) fn repeat_risk(&self, id: MessageId) -> RepeatRisk {
        let Some(queued) = self.queue.get(&id) else {
            return RepeatRisk::UnknownMessage;
        };
        match (
            self.class(&queued.message).idempotency,
            queued.first_possible_execution(),
        ) {
            (Idempotency::Idempotent, _) => RepeatRisk::Idempotent,
            (Idempotency::Keyed { .. }, Some(_)) => RepeatRisk::KeyAlreadyUsed,
            (Idempotency::Keyed { .. }, None) => RepeatRisk::KeyUnused,
            (Idempotency::NonIdempotent, _) => RepeatRisk::NonIdempotent,
        }
    }
}
