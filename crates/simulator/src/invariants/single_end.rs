//! `one end`: a message ends once, and is not called after that.

use std::collections::BTreeMap;
use std::time::Duration;

use super::invariant::Invariant;
use super::tolerance::IN_FLIGHT_TOLERANCE;
use super::violation::Violations;
use crate::history::{CallId, History, Message, NoticeStatus, Observation, ReceivedCall};

const NAME: &str = "one end";
/// A notice that arrives later than this after the relay has read a 200 was decided on after the delivery.
const NOTICE_DECISION_TIME: Duration = Duration::from_secs(1);

/// A delivery of which a process has read the 200.
struct KnownDelivery {
    at: Duration,
    process: u32,
}

#[derive(Default)]
pub struct SingleEnd {
    /// By message: the first delivery of which a process has read the response.
    deliveries: BTreeMap<String, KnownDelivery>,
}

impl Invariant for SingleEnd {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::ResponseRead(id) => self.record_response(history, id),
            Observation::CallReceived { call, .. } => self.check_call(history, call, violations),
            Observation::NoticeReceived { id, status } => {
                self.check_notice(history, id, status, violations);
            }
            _ => {}
        }
    }
}

impl SingleEnd {
    fn record_response(&mut self, history: &History, id: &CallId) {
        let Some((_, call)) = history.call(id) else {
            return;
        };
        if call.process == history.process && call.is_delivered() {
            self.deliveries
                .entry(id.message_id.clone())
                .or_insert(KnownDelivery {
                    at: history.now,
                    process: history.process,
                });
        }
    }

    /// When the running process read the first delivery of a message; none if it did not.
    fn known_delivery(&self, history: &History, id: &str) -> Option<Duration> {
        let delivery = self.deliveries.get(id)?;
        (delivery.process == history.process).then_some(delivery.at)
    }

    fn check_call(&self, history: &History, call: &ReceivedCall, violations: &mut Violations) {
        let (host, id) = (&call.host.name, &call.message_id);
        let Some(message) = history.messages.get(id) else {
            return;
        };
        // The call of an undeliverable message may get a 200 after all. Resends are checked by their effects, in
        // `applied once`.
        let may_be_resent = history.limits.undeliverable_are_resent
            && message
                .notice
                .is_some_and(|notice| notice.status == NoticeStatus::Undeliverable);
        if may_be_resent {
            return;
        }
        let is_before_call = |at: &Duration| *at + IN_FLIGHT_TOLERANCE < call.first_byte_at;
        let delivered_at = self.known_delivery(history, id);
        if delivered_at.filter(is_before_call).is_some() {
            violations.report(
                NAME,
                format!("{id} went to {host} after the relay was told of its delivery"),
            );
        }
        let noticed_at = message.notice.map(|notice| notice.at);
        if let Some(at) = noticed_at.filter(is_before_call) {
            let at = at.as_secs_f64();
            violations.report(
                NAME,
                format!("{id} went to {host} after its notice of {at:.3}"),
            );
        }
    }

    fn check_notice(&self, history: &History, id: &str, status: &str, violations: &mut Violations) {
        let Some(status) = NoticeStatus::parse(status) else {
            return;
        };
        let Some(message) = history.messages.get(id) else {
            return;
        };
        if let Some(earlier) = message.notice {
            if earlier.status != status {
                let earlier = earlier.status;
                violations.report(
                    NAME,
                    format!("{id} is {status:?}, and was {earlier:?} before"),
                );
            }
            return;
        }
        // A resend may deliver an undeliverable message before its notice is received.
        if history.limits.undeliverable_are_resent {
            return;
        }
        let delivered_at = self.known_delivery(history, id);
        if let Some(at) = delivered_at.filter(|at| was_undecided(history, message, *at)) {
            let at = at.as_secs_f64();
            violations.report(
                NAME,
                format!("{id} gets a notice, and was delivered at {at:.3}"),
            );
        }
    }
}

/// Whether the relay had not decided on the arriving notice before it read the delivery.
fn was_undecided(history: &History, message: &Message, delivered_at: Duration) -> bool {
    let was_held_back = history
        .notice_outages
        .iter()
        .any(|outage| outage.from < history.now && delivered_at < outage.until);
    delivered_at + NOTICE_DECISION_TIME < history.now
        && delivered_at + IN_FLIGHT_TOLERANCE < message.request.deadline
        && delivered_at > history.process_started_at
        && !was_held_back
}
