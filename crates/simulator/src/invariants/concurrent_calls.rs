//! `one at a time`: no message has two calls in flight.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

pub struct ConcurrentCalls;

impl Invariant for ConcurrentCalls {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let Observation::CallReceived {
            call,
            is_connection_open,
        } = observation
        else {
            return;
        };
        let id = &call.message_id;
        let Some(message) = history.messages.get(id) else {
            return;
        };
        // A process that has ended has no calls in flight.
        let in_flight = message.calls.iter().find(|other| {
            other.is_in_flight()
                && other.process == history.process
                && is_connection_open(other.connection)
        });
        if let Some(other) = in_flight {
            let host = &call.host.name;
            let since = other.last_byte_at.as_secs_f64();
            violations.report(
                "one at a time",
                format!("{id} came to {host} while a call of {since:.3} is out"),
            );
        }
    }
}
