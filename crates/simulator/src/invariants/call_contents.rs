//! `call`, `right host`, `unchanged`, `expiry`: a call has the expected request line, goes to a host of its destination,
//! carries the submitted body and key, and announces an expiry within the deadline.

use super::invariant::Invariant;
use super::tolerance::IN_FLIGHT_TOLERANCE;
use super::violation::Violations;
use crate::history::{History, Observation, ReceivedCall, SubmittedRequest};

pub struct CallContents;

impl Invariant for CallContents {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let Observation::CallReceived { call, .. } = observation else {
            return;
        };
        let host = &call.host.name;
        if call.request_line != "POST /hook" {
            violations.report("call", format!("{host} got {:?}", call.request_line));
        }
        let id = &call.message_id;
        let Some(message) = history.messages.get(id) else {
            return violations.report("call", format!("{host} got {id}, which nobody handed in"));
        };
        let request = &message.request;
        if request.destination != call.host.destination {
            let (asked, actual) = (request.destination, call.host.destination);
            violations.report(
                "right host",
                format!("{id} for {asked} went to {host} of {actual}"),
            );
        }
        if request.body != call.body || request.idempotency_key != call.idempotency_key {
            violations.report(
                "unchanged",
                format!("{id} came to {host} with another key or body"),
            );
        }
        // A resend has its own deadline.
        if !history.limits.undeliverable_are_resent {
            check_expiry(call, request, violations);
        }
    }
}

/// Checks that the announced expiry does not lie after the deadline.
fn check_expiry(call: &ReceivedCall, request: &SubmittedRequest, violations: &mut Violations) {
    let remaining = request.deadline.saturating_sub(call.first_byte_at) + IN_FLIGHT_TOLERANCE;
    let max_expiry = remaining.as_millis().max(1);
    let is_in_time = call
        .expires_in_ms
        .is_some_and(|expiry| u128::from(expiry) <= max_expiry);
    if !is_in_time {
        let description = format!(
            "{} tells {:?} ms, {} ms are left",
            request.id,
            call.expires_in_ms,
            remaining.as_millis()
        );
        violations.report("expiry", description);
    }
}
