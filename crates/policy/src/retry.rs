//! How attempts end, and what may be repeated.

use crate::policy::DeliveryPolicy;
use crate::state::{AttemptState, QueuedMessage};
use crate::tuning::{SECOND, SHUT_AFTER};
use crate::types::{Action, AttemptEnd, AttemptOutcome, Idempotency, MessageId, Micros};

impl DeliveryPolicy {
    pub(crate) fn ended(&mut self, end: AttemptEnd) {
        let now = self.now;
        let Some(held) = self.held.get_mut(&end.id) else { return };
        held.over |= end.is_final;
        let tries = held.attempts.len() as u64;
        let attempt = held.attempts.get_mut(usize::from(end.attempt)).filter(|a| a.fate == AttemptState::Out);
        let Some(attempt) = attempt else { return };
        attempt.fate =
            if end.outcome.may_have_executed() { AttemptState::MayHaveRun } else { AttemptState::NeverRan };
        let call_id = attempt.call;
        self.scheduler.call_ended(&held.message, attempt.booked, end.elapsed);
        held.attempts.truncate(tries as usize - usize::from(end.outcome == AttemptOutcome::NotStarted));
        held.owed &= matches!(
            end.outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Obsolete | AttemptOutcome::NotStarted
        );
        // Guards against a class that always fails somewhere, and against calls that can't be made, following at once.
        held.not_before = match end.outcome {
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::Obsolete => {
                now + SECOND / 5 * tries
            }
            _ => now,
        };
        let (order_key, over) = (held.message.ordering_key, held.over);
        let class = usize::from(held.message.class).min(self.class_usual.len() - 1);
        let may_run_on = matches!(
            end.outcome,
            AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::Cancelled
        );
        if let (true, Some(turn)) = (may_run_on, order_key.and_then(|k| self.keys.get_mut(&k))) {
            turn.rest_until = turn.rest_until.max(now + self.set.rules.ordering_delay);
        }
        if over {
            self.close(end.id);
        }
        let chance = self.dice.roll();
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.left -= 1;
        let (key, overdue, last) = (call.route, call.overdue, call.left == 0);
        if let Some(route) = self.routes.get_mut(&key) {
            route.in_flight -= usize::from(last);
            // A told wait binds from any message of a call, whatever became of the others.
            if let AttemptOutcome::Rejected { retry_after: wait @ 1.. } = end.outcome {
                route.wait_until = route.wait_until.max(now.saturating_add(wait + self.set.tick));
                if wait > SHUT_AFTER {
                    route.saw_outage(now, chance);
                }
            }
        }
        if !last {
            return;
        }
        self.calls.remove(&call_id);
        if let Some(host) = self.hosts.get_mut(&end.host) {
            host.in_flight = host.in_flight.saturating_sub(1);
        }
        self.report(end.host, &end.load_report);
        self.judge(key, end.host, end.outcome, end.elapsed, overdue, Some(class));
    }

    /// Whether the effect rule and the attempt limit allow another attempt.
    pub(crate) fn may_send(&self, held: &QueuedMessage) -> bool {
        let allowed = match (self.class(&held.message).idempotency, held.tainted()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                self.now + 2 * self.set.tick < first.sent + window
            }
        };
        allowed && held.attempts.len() < self.set.max_attempts && self.set.max_calls > 0
    }

    /// Ends in time what is not delivered, and at once what may not be sent any more.
    pub(crate) fn deadlines(&mut self, out: &mut Vec<Action>) {
        let limit = self.now + 2 * self.set.tick;
        let done = self.held.iter().filter(|(_, h)| {
            let spent = || !self.may_send(h) || self.scheduler.abandons_messages(h.message.tenant);
            !h.over && !h.started && (h.message.deadline <= limit || !h.is_out() && spent())
        });
        for (id, due) in done.map(|(id, held)| (*id, held.message.deadline)).collect::<Vec<_>>() {
            // One that ends before its time has spent its attempts: its client may come again.
            let after = if due <= limit { 0 } else { self.advice() };
            self.end(id, after, out);
        }
    }

    /// The final answer when there will be no delivery: a refusal only where nothing may have run.
    pub(crate) fn end(&mut self, id: MessageId, after: Micros, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id).filter(|h| !h.over) else { return };
        let harmless = held.tainted().is_none();
        out.push(if harmless { Action::Reject { id, retry_after: after } } else { Action::Fail(id) });
        self.close(id);
    }

    /// No answer is owed any more; the message stays only while attempts are out.
    pub(crate) fn close(&mut self, id: MessageId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.over = true;
        if held.is_out() {
            return;
        }
        if let Some(turn) = held.message.ordering_key.and_then(|key| self.keys.get_mut(&key)) {
            turn.line.retain(|other| *other != id);
            if self.keys.len() > 2 * self.held.len() + self.set.max_queued {
                self.keys.retain(|_, turn| !turn.line.is_empty() || turn.rest_until > self.now);
            }
        }
        let Some(held) = self.held.remove(&id) else { return };
        self.scheduler.message_removed(&held.message);
        self.bytes -= held.message.size;
    }

    pub(crate) fn risk(&self, id: MessageId) -> u8 {
        let Some(held) = self.held.get(&id) else { return u8::MAX };
        match self.class(&held.message).idempotency {
            Idempotency::Idempotent => 0,
            Idempotency::Keyed { .. } => 1 + u8::from(held.tainted().is_none()),
            Idempotency::NonIdempotent => 3,
        }
    }
}
