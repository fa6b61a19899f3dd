//! What the metrics of the process that runs may be, by what was observed of each message.

use std::collections::BTreeSet;
use std::time::Duration;

use super::bounds::Bounds;
use crate::history::{CallOutcome, History, Message, NoticeStatus};

/// A notice that could not be taken is sent again within this time after it can be.
const NOTICE_RETRY_TIME: Duration = Duration::from_secs(1);
/// A corrupted response is read within this time after its call.
const CORRUPTED_READ_TIME: Duration = Duration::from_secs(1);

/// How often messages of a class ended in which way.
#[derive(Default)]
pub(super) struct ClassCounts {
    pub success: Bounds,
    pub overload: Bounds,
    pub error: Bounds,
}

/// The circumstances of a report of metrics.
pub(super) struct Expectation<'a> {
    history: &'a History,
    upgraded: &'a BTreeSet<u32>,
    /// What passed before is certainly counted.
    counted_until: Duration,
    /// Notices may not have been taken yet.
    has_pending_notices: bool,
}

impl<'a> Expectation<'a> {
    pub fn new(history: &'a History, upgraded: &'a BTreeSet<u32>, counted_until: Duration) -> Self {
        let has_pending_notices = history.notice_outages.iter().any(|outage| {
            outage.from <= history.now && counted_until < outage.until + NOTICE_RETRY_TIME
        });
        Expectation {
            history,
            upgraded,
            counted_until,
            has_pending_notices,
        }
    }

    /// Counts how a message ended, as far as it counts for the process that runs.
    pub fn count_ends(&self, message: &Message, counts: &mut ClassCounts) {
        self.count_rejections(message, counts);
        self.count_delivery(message, &mut counts.success);
        self.count_notice(message, counts);
    }

    /// Counts the replies that rejected it.
    fn count_rejections(&self, message: &Message, counts: &mut ClassCounts) {
        let started_at = self.history.process_started_at;
        let is_certain = self.is_certain(message);
        let is_ours = message.process == self.history.process;
        let rejections = &message.rejections;
        let pairs = [
            (&mut counts.overload, &rejections.busy),
            (&mut counts.error, &rejections.failed),
        ];
        for (bounds, received_at) in pairs {
            // Repeated requests that wait together are rejected once; the first may have come to an earlier process.
            let mut received_at = received_at.iter().filter(|at| **at >= started_at);
            if let Some(first) = received_at.next() {
                bounds.count(is_certain && *first < self.counted_until);
                bounds.allow(received_at.count() as u64);
            }
            if is_unheard(message) && (is_ours || message.accepted_at.is_none()) {
                bounds.allow(2);
            }
        }
    }

    /// Whether the process that runs has had the message from its first request on, and its client heard all.
    fn is_certain(&self, message: &Message) -> bool {
        let started_at = self.history.process_started_at;
        message.process == self.history.process
            && !is_unheard(message)
            && message
                .accepted_at
                .is_none_or(|accepted_at| accepted_at >= started_at)
    }

    fn count_delivery(&self, message: &Message, success: &mut Bounds) {
        let Some(delivered_at) = message.delivered_at else {
            return;
        };
        if delivered_at >= self.history.process_started_at {
            let is_certain = self.is_certain_delivery(message);
            success.count(is_certain && delivered_at < self.counted_until);
            return;
        }
        // What one of two processes did as it ended, the next one finds in the state directory, and counts.
        let mut calls = message.calls.iter();
        if calls.any(|call| self.upgraded.contains(&call.process)) {
            success.allow(1);
        }
    }

    /// Whether the process that runs has certainly read the one response that delivered a message.
    fn is_certain_delivery(&self, message: &Message) -> bool {
        let mut calls = message.calls.iter();
        let is_ours = calls.any(|call| call.process == self.history.process && call.is_delivered());
        // A response that crosses the relay's own end of the call is none that it has read.
        let possible_responses = message.calls.iter().filter(|call| {
            call.outcome()
                .is_none_or(|outcome| outcome == CallOutcome::Delivered)
        });
        !is_unheard(message)
            && message.accepted_at.is_some()
            && is_ours
            && !self.may_be_corrupted(message)
            && message.notice.is_none()
            && possible_responses.count() == 1
    }

    fn count_notice(&self, message: &Message, counts: &mut ClassCounts) {
        if let Some(notice) = message.notice {
            let bounds = match notice.status {
                NoticeStatus::Deferred => &mut counts.overload,
                NoticeStatus::Undeliverable => &mut counts.error,
            };
            if notice.at >= self.history.process_started_at {
                bounds.count(self.is_certain(message) && notice.at < self.counted_until);
            }
        } else if self.has_pending_notices && message.delivered_at.is_none() {
            counts.overload.allow(1);
            counts.error.allow(1);
        }
    }

    /// Counts a message that is accepted and has no end.
    pub fn count_held(&self, message: &Message, concurrent: &mut Bounds) {
        let noticed_at = message.notice.map(|notice| notice.at);
        let ended_at = [message.delivered_at, noticed_at]
            .into_iter()
            .flatten()
            .min();
        // A response that came corrupted, or still comes, has ended nothing.
        let has_ended = ended_at.is_some_and(|at| at < self.counted_until)
            && (message.notice.is_some() || !self.may_be_corrupted(message));
        let was_rejected =
            message.is_rejected && message.accepted_at.is_none() && !message.is_abandoned;
        let deadline = message.request.deadline;
        let is_past =
            message.accepted_at.is_none() && deadline + 2 * NOTICE_RETRY_TIME < self.counted_until;
        if has_ended || was_rejected || is_past {
            return;
        }
        let is_held = message
            .accepted_at
            .is_some_and(|accepted_at| accepted_at < self.counted_until)
            && ended_at.is_none()
            && !message.is_abandoned
            && !self.has_pending_notices;
        // One that is about to be ended may be on its way to the platform.
        concurrent.count(is_held && deadline > self.history.now);
    }

    /// Counts the calls of a message that the process that runs has made.
    pub fn count_calls(&self, message: &Message, dispatches: &mut Bounds) {
        let calls = message.calls.iter();
        calls
            .filter(|call| call.process == self.history.process)
            .for_each(|call| dispatches.count(call.last_byte_at < self.counted_until));
    }

    /// Whether a response to a message may not have reached the relay as it was sent.
    fn may_be_corrupted(&self, message: &Message) -> bool {
        let corrupted = &self.history.limits.corrupted_responses;
        corrupted.iter().any(|(destination, from)| {
            let mut calls = message.calls.iter();
            *destination == message.request.destination
                && calls.any(|call| call.first_byte_at + CORRUPTED_READ_TIME > *from)
        })
    }
}

/// Whether the client does not know what the relay replied.
fn is_unheard(message: &Message) -> bool {
    message.is_abandoned || message.accepted_at.is_none() && message.rejections.is_empty()
}
