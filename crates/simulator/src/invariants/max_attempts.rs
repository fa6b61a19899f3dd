//! `attempts`: no message has more attempts than the settings allow.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

pub struct MaxAttempts;

impl Invariant for MaxAttempts {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let Observation::CallReceived { call, .. } = observation else {
            return;
        };
        // A resend has its own attempts.
        if history.limits.undeliverable_are_resent {
            return;
        }
        let id = &call.message_id;
        let Some(message) = history.messages.get(id) else {
            return;
        };
        if message.calls.len() >= message.max_attempts {
            let number = message.calls.len() + 1;
            violations.report("attempts", format!("{id} has its call number {number}"));
        }
    }
}
