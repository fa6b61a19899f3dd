//! `nothing lost`, `at once`: an accepted message ends by its deadline, and at once when it cannot be sent again.
//!
//! Both are checked in one pass over the messages, so that the first overdue message is reported.

use std::collections::BTreeMap;
use std::time::Duration;

use super::invariant::Invariant;
use super::tolerance::IN_FLIGHT_TOLERANCE;
use super::violation::Violations;
use crate::history::{CallId, CallOutcome, History, Idempotency, Observation};

/// Time from its deadline until a message ends.
const DEADLINE_GRACE: Duration = Duration::from_millis(300);
/// A message that cannot be sent again ends within this.
const PROMPT_END_TIME: Duration = Duration::from_secs(1);

#[derive(Default)]
pub struct TimelyEnd {
    /// By message that cannot be sent again: since when.
    exhausted: BTreeMap<String, Duration>,
}

impl Invariant for TimelyEnd {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::ResponseRead(id) => self.record_response(history, id),
            Observation::CallConnectionClosed(id) => self.record_connection_close(history, id),
            Observation::Tick => self.check_deadlines(history, violations),
            _ => {}
        }
    }
}

impl TimelyEnd {
    fn record_response(&mut self, history: &History, id: &CallId) {
        let Some((message, call)) = history.call(id) else {
            return;
        };
        let response = call
            .response
            .filter(|response| response.outcome == CallOutcome::MayHaveExecuted);
        let Some(response) = response else { return };
        let is_non_idempotent = message.request.idempotency == Idempotency::NonIdempotent;
        if call.process == history.process && is_non_idempotent {
            self.record_exhausted(id, response.at);
        }
    }

    fn record_connection_close(&mut self, history: &History, id: &CallId) {
        let Some((message, call)) = history.call(id) else {
            return;
        };
        let is_non_idempotent = message.request.idempotency == Idempotency::NonIdempotent;
        if call.is_in_flight() && is_non_idempotent {
            self.record_exhausted(id, history.now);
        }
    }

    fn record_exhausted(&mut self, id: &CallId, since: Duration) {
        self.exhausted.entry(id.message_id.clone()).or_insert(since);
    }

    /// Reports the first overdue message, in descending order of ids.
    fn check_deadlines(&self, history: &History, violations: &mut Violations) {
        for id in history.open.iter().rev() {
            let Some(message) = history.messages.get(id) else {
                continue;
            };
            let deadline = message.request.deadline;
            let due_at = deadline.max(message.accepted_at.unwrap_or_default());
            if history.is_past_due(due_at, DEADLINE_GRACE + IN_FLIGHT_TOLERANCE) {
                let deadline = deadline.as_secs_f64();
                return violations.report(
                    "nothing lost",
                    format!("{id}, due at {deadline:.3}, has no end"),
                );
            }
            let exhausted_since = self.exhausted.get(id).copied();
            if let Some(since) =
                exhausted_since.filter(|since| history.is_past_due(*since, PROMPT_END_TIME))
            {
                let since = since.as_secs_f64();
                return violations.report(
                    "at once",
                    format!("{id} can't go again since {since:.3} and has no end"),
                );
            }
        }
    }
}
