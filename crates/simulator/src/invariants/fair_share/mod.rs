//! `below its share`: no tenant is below its share of the queue or of a destination's calls while it has messages.
//!
//! What the relay holds and what its slots are used for is known here from outside only, so both are taken at their
//! least favourable for a violation: a tenant holds whatever it submitted and has no known end, and all tenants
//! that there are count among those who share, also those whose name a younger one has.

mod calls;
mod queue;
mod tolerance;
mod weights;

use std::collections::BTreeMap;
use std::time::Duration;

use calls::CallShares;
use tolerance::SETTLE_TIME;
use weights::Weights;

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{CallId, History, Message, Observation, ReceivedCall, TenantSnapshot};

/// Name of the invariant in reports.
const NAME: &str = "below its share";
/// This number of attempts ...
const MANY_ATTEMPTS: usize = 12;
/// ... is not used up within this time, unless their destination is down.
const FEW_ATTEMPTS_TIME: Duration = Duration::from_secs(1);

#[derive(Default)]
pub struct FairShare {
    weights: Weights,
    calls: CallShares,
    /// Rejections are not judged before.
    settled_at: Duration,
    /// By tenant: when it last submitted something.
    last_submissions: BTreeMap<String, Duration>,
}

impl Invariant for FairShare {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        if history.limits.tenants.is_empty() {
            return;
        }
        if self.weights.is_empty() {
            self.weights = Weights::new(&history.limits.tenants);
        }
        let now = history.now;
        match observation {
            Observation::TenantChangeRequested { .. } => self.unsettle(now),
            Observation::TenantChangeTimedOut { tenant, .. } => {
                self.weights.record_timeout(tenant);
                self.unsettle(now);
            }
            Observation::TenantChangeResponse {
                tenant,
                snapshot: Some(snapshot),
                ..
            }
            | Observation::TenantRead {
                tenant,
                snapshot: Some(snapshot),
                ..
            } => self.record_snapshot(now, tenant, snapshot),
            Observation::ProcessStarted(_)
            | Observation::ProcessReady
            | Observation::TerminationRequested
            | Observation::ProcessTerminated
            | Observation::DiskFull(_) => self.record_restart(now),
            Observation::DestinationOutage {
                destination,
                is_down,
            } => self.calls.record_outage(*destination, *is_down),
            Observation::RequestSent(request) => {
                self.last_submissions.insert(request.tenant.clone(), now);
            }
            Observation::ReplyReceived { id, reply } => {
                self.record_reply(history, id, reply, violations);
            }
            Observation::NoticeReceived { id, status } => {
                self.record_notice(history, id, status, violations);
            }
            Observation::CallReceived { call, .. } => self.check_call(history, call, violations),
            Observation::ResponseStarted { call, .. } | Observation::CallConnectionClosed(call) => {
                self.record_call_end(history, call);
            }
            _ => {}
        }
    }
}

impl FairShare {
    fn unsettle(&mut self, now: Duration) {
        self.settled_at = now + SETTLE_TIME;
        self.calls.restart_counts();
    }

    /// A start, an end or a fault of the disk: what could be sent before is not known to be sendable any more.
    fn record_restart(&mut self, now: Duration) {
        self.unsettle(now);
        self.calls.clear_backlogs();
    }

    fn record_snapshot(&mut self, now: Duration, tenant: &str, snapshot: &TenantSnapshot) {
        if self.weights.record_snapshot(now, tenant, snapshot) {
            self.unsettle(now);
        }
    }

    fn check_call(&mut self, history: &History, call: &ReceivedCall, violations: &mut Violations) {
        let Some(message) = history.messages.get(&call.message_id) else {
            return;
        };
        self.calls.record_left_backlog(message);
        for description in self.calls.tenants_behind(history, &self.weights, message) {
            violations.report(NAME, description);
        }
    }

    fn record_reply(
        &mut self,
        history: &History,
        id: &str,
        reply: &str,
        violations: &mut Violations,
    ) {
        let message = history.messages.get(id);
        let Some(message) = message.filter(|message| message.accepted_at.is_none()) else {
            return;
        };
        if reply.starts_with('+') {
            self.calls.record_accepted(history, message);
        } else if reply.starts_with("-BUSY") {
            self.check_rejection(history, message, violations);
        }
    }

    fn record_notice(
        &mut self,
        history: &History,
        id: &str,
        status: &str,
        violations: &mut Violations,
    ) {
        let message = history.messages.get(id);
        let Some(message) = message.filter(|message| message.notice.is_none()) else {
            return;
        };
        self.calls.record_left_backlog(message);
        // Its attempts may be used up, of which those that reach no host are not observed.
        let has_attempts_left = history.limits.max_attempts >= MANY_ATTEMPTS
            && history.now < message.submitted_at + FEW_ATTEMPTS_TIME
            && !self.calls.is_down(message.request.destination);
        if status == "deferred" && has_attempts_left {
            self.check_rejection(history, message, violations);
        }
    }

    fn record_call_end(&mut self, history: &History, id: &CallId) {
        let call = history.call(id);
        if let Some((message, call)) = call.filter(|(_, call)| call.is_in_flight()) {
            let slot_time = history.now.saturating_sub(call.last_byte_at);
            self.calls
                .record_slot_time(&message.request.tenant, slot_time);
        }
    }

    /// A message is rejected once the relay has settled.
    fn check_rejection(&self, history: &History, message: &Message, violations: &mut Violations) {
        if history.now < self.settled_at {
            return;
        }
        let (weights, last_submissions) = (&self.weights, &self.last_submissions);
        if let Some(description) =
            queue::unfair_rejection(history, weights, last_submissions, message)
        {
            violations.report(NAME, description);
        }
    }
}
