//! `no double effect`: no message is executed twice unless it is idempotent or its key still holds.

use super::invariant::Invariant;
use super::tolerance::IN_FLIGHT_TOLERANCE;
use super::violation::Violations;
use crate::history::{Call, History, Idempotency, Observation, ReceivedCall};

const NAME: &str = "no double effect";

pub struct DoubleExecution;

impl Invariant for DoubleExecution {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            // Resends are checked by their effects, in `applied once`.
            Observation::CallReceived { call, .. } if !history.limits.undeliverable_are_resent => {
                check_call(history, call, violations);
            }
            Observation::NoticeReceived {
                id,
                status: "deferred",
            } => check_deferral(history, id, violations),
            _ => {}
        }
    }
}

/// Checks a call that follows one that may have been executed.
fn check_call(history: &History, call: &ReceivedCall, violations: &mut Violations) {
    let id = &call.message_id;
    let Some(message) = history.messages.get(id) else {
        return;
    };
    let Some(first) = message.calls.iter().find(|call| call.may_have_executed()) else {
        return;
    };
    match message.request.idempotency {
        Idempotency::Idempotent => {}
        Idempotency::Keyed { window, zone_only } => {
            if call.first_byte_at > first.first_byte_at + window + IN_FLIGHT_TOLERANCE {
                let since = (call.first_byte_at - first.first_byte_at).as_millis();
                violations.report(NAME, format!("keyed {id} went again after {since} ms"));
            }
            if zone_only && first.zone != call.host.zone {
                violations.report(NAME, other_zone(call, first));
            }
        }
        Idempotency::NonIdempotent => {
            let first = first.last_byte_at.as_secs_f64();
            violations.report(
                NAME,
                format!("unsafe {id} went again, a call of {first:.3} may have run"),
            );
        }
    }
}

fn other_zone(call: &ReceivedCall, first: &Call) -> String {
    format!(
        "keyed {} went to zone {} after {}",
        call.message_id, call.host.zone, first.zone
    )
}

/// Checks that a deferred message was not executed, as its client may submit it again.
fn check_deferral(history: &History, id: &str, violations: &mut Violations) {
    let message = history.messages.get(id);
    let Some(message) = message.filter(|message| message.notice.is_none()) else {
        return;
    };
    let is_harmful = match message.request.idempotency {
        Idempotency::Idempotent => false,
        Idempotency::Keyed { zone_only, .. } => zone_only && message.may_have_executed(),
        Idempotency::NonIdempotent => message.may_have_executed(),
    };
    if is_harmful {
        violations.report(NAME, format!("{id} is refused though it may have run"));
    }
}
