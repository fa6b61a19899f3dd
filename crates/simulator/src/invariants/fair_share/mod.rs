//! `below its share`: no tenant is below its share of the queue or of a destination's calls while it has messages.
//!
//! The relay's queue and the use of its slots are observed from outside only, so the checker assumes the state in which a
//! violation is least likely: a tenant holds every message that it submitted and that has no known end, and all existing
//! tenants count in the sharing, also removed ones whose name a newer tenant has.

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
/// A message with at least this many attempts does not use them up within [`FEW_ATTEMPTS_TIME`], unless its destination is
/// down.
const MANY_ATTEMPTS: usize = 12;
/// See [`MANY_ATTEMPTS`].
const FEW_ATTEMPTS_TIME: Duration = Duration::from_secs(1);

#[derive(Default)]
pub struct FairShare {
    weights: Weights,
    calls: CallShares,
    /// Rejections are not checked before this time.
    settled_at: Duration,
    /// By tenant: when it last submitted a message.
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

    /// Records a start or an end of a process, or a fault of the disk: the messages of the backlogs may not be sendable any
    /// more.
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
        // A message may have used up its attempts, as those that reach no host are not observed.
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

    /// Checks a rejection, unless the relay has not settled yet.
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
