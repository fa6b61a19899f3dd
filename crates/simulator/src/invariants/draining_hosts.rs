//! `drains`: a draining or removed host gets no new calls once its entry was sent to the relay.

use std::collections::BTreeMap;
use std::time::Duration;

use super::invariant::Invariant;
use super::tolerance::{IN_FLIGHT_TOLERANCE, UNSAVED_BEFORE_KILL};
use super::violation::Violations;
use crate::history::{History, Observation};

#[derive(Default)]
pub struct DrainingHosts {
    /// By host: when the relay was first sent an entry in which it is not up.
    sent_at: BTreeMap<String, Duration>,
}

impl Invariant for DrainingHosts {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let now = history.now;
        match observation {
            Observation::HostStatusSent { host, is_up: true } => {
                self.sent_at.remove(*host);
            }
            Observation::HostStatusSent { host, is_up: false } => {
                self.sent_at.entry((*host).into()).or_insert(now);
            }
            Observation::ProcessTerminated if history.disk_was_full => self.sent_at.clear(),
            Observation::ProcessTerminated => self
                .sent_at
                .retain(|_, sent_at| *sent_at + UNSAVED_BEFORE_KILL < now),
            Observation::CallReceived { call, .. } => {
                let host = &call.host.name;
                let grace = history.limits.drain_grace + IN_FLIGHT_TOLERANCE;
                let sent_at = self.sent_at.get(host);
                if sent_at.is_some_and(|sent_at| call.first_byte_at > *sent_at + grace) {
                    let id = &call.message_id;
                    violations.report("drains", format!("{id} went to {host}, which drains"));
                }
            }
            _ => {}
        }
    }
}
