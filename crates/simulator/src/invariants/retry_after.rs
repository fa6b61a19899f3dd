//! `waits`: a destination that sent Retry-After gets no calls before the wait is over.

use std::collections::BTreeMap;
use std::time::Duration;

use super::invariant::Invariant;
use super::tolerance::IN_FLIGHT_TOLERANCE;
use super::violation::Violations;
use crate::history::{CallId, CallOutcome, History, Observation, ReceivedCall};

/// Calls that arrive within this time after the response were already in flight.
const REACTION_TIME: Duration = Duration::from_millis(100);

struct Wait {
    /// When the response was written.
    advertised_at: Duration,
    until: Duration,
}

#[derive(Default)]
pub struct RetryAfter {
    /// By destination: the wait that ends last.
    waits: BTreeMap<u16, Wait>,
}

impl Invariant for RetryAfter {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::ProcessTerminated => self.waits.clear(),
            Observation::ResponseRead(id) => self.record_response(history, id),
            Observation::CallReceived { call, .. } => self.check_call(call, violations),
            _ => {}
        }
    }
}

impl RetryAfter {
    /// Records the wait of a response. A second response during a wait may lengthen it.
    fn record_response(&mut self, history: &History, id: &CallId) {
        let Some((message, call)) = history.call(id) else {
            return;
        };
        let Some(response) = call.response else {
            return;
        };
        let CallOutcome::Rejected { retry_after } = response.outcome else {
            return;
        };
        if call.process != history.process || retry_after.is_zero() {
            return;
        }
        let destination = message.request.destination;
        let until = response.at + retry_after;
        let current = self.waits.get(&destination);
        if current.is_none_or(|current| until > current.until) {
            let wait = Wait {
                advertised_at: response.at,
                until,
            };
            self.waits.insert(destination, wait);
        }
    }

    fn check_call(&self, call: &ReceivedCall, violations: &mut Violations) {
        let Some(wait) = self.waits.get(&call.host.destination) else {
            return;
        };
        let at = call.first_byte_at;
        let is_late_enough = at > wait.advertised_at + REACTION_TIME + IN_FLIGHT_TOLERANCE;
        if is_late_enough && at + IN_FLIGHT_TOLERANCE < wait.until {
            let (id, host) = (&call.message_id, &call.host.name);
            let remaining = (wait.until - at).as_millis();
            violations.report(
                "waits",
                format!("{id} went to {host} {remaining} ms before the told wait's end"),
            );
        }
    }
}
