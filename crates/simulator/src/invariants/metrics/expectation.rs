//! The expected metrics of the running process, by what was observed of each message.

use std::collections::BTreeSet;
use std::time::Duration;

use super::bounds::Bounds;
use crate::history::{CallOutcome, History, Message, NoticeStatus};

/// Time after the end of a notice outage within which pending notices are sent again.
const NOTICE_RETRY_TIME: Duration = Duration::from_secs(1);
/// A corrupted response is read within this time after its call.
const CORRUPTED_READ_TIME: Duration = Duration::from_secs(1);

/// Ends of a class's messages, by kind of end.
#[derive(Default)]
pub(super) struct ClassCounts {
    pub success: Bounds,
    pub overload: Bounds,
    pub error: Bounds,
}

/// Computes the expected metrics for one report.
pub(super) struct Expectation<'a> {
    history: &'a History,
    upgraded: &'a BTreeSet<u32>,
    /// Events before this time are certainly counted.
    counted_until: Duration,
    /// Whether notices may not have been received yet.
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

    /// Counts the ends of a message that the running process counts.
    pub fn count_ends(&self, message: &Message, counts: &mut ClassCounts) {
        self.count_rejections(message, counts);
        self.count_delivery(message, &mut counts.success);
        self.count_notice(message, counts);
    }

    /// Counts the replies that rejected a message.
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
            // Repeated requests that wait at the same time count as one rejection. The first may have reached an earlier
            // process.
            let mut received_at = received_at.iter().filter(|at| **at >= started_at);
            if let Some(first) = received_at.next() {
                bounds.count(is_certain && *first < self.counted_until);
                bounds.allow(received_at.count() as u64);
            }
            if is_reply_unread(message) && (is_ours || message.accepted_at.is_none()) {
                bounds.allow(2);
            }
        }
    }

    /// Whether the running process has handled the message since its first request, and its client read all replies.
    fn is_certain(&self, message: &Message) -> bool {
        let started_at = self.history.process_started_at;
        message.process == self.history.process
            && !is_reply_unread(message)
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
        // Of two processes in an upgrade, one counts deliveries of the other that it finds in the state directory.
        let mut calls = message.calls.iter();
        if calls.any(|call| self.upgraded.contains(&call.process)) {
            success.allow(1);
        }
    }

    /// Whether the running process has certainly read the one response that delivered a message.
    fn is_certain_delivery(&self, message: &Message) -> bool {
        let mut calls = message.calls.iter();
        let is_ours = calls.any(|call| call.process == self.history.process && call.is_delivered());
        // A call that the relay ended itself may have a response that it has not read.
        let possible_responses = message.calls.iter().filter(|call| {
            call.outcome()
                .is_none_or(|outcome| outcome == CallOutcome::Delivered)
        });
        !is_reply_unread(message)
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

    /// Counts a message that is accepted and has not ended.
    pub fn count_held(&self, message: &Message, concurrent: &mut Bounds) {
        let noticed_at = message.notice.map(|notice| notice.at);
        let ended_at = [message.delivered_at, noticed_at]
            .into_iter()
            .flatten()
            .min();
        // A response that arrived corrupted or incomplete has not ended the message.
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
        // A message past its deadline may have a notice in flight to the platform.
        concurrent.count(is_held && deadline > self.history.now);
    }

    /// Counts the calls of a message by the running process.
    pub fn count_calls(&self, message: &Message, dispatches: &mut Bounds) {
        let calls = message.calls.iter();
        calls
            .filter(|call| call.process == self.history.process)
            .for_each(|call| dispatches.count(call.last_byte_at < self.counted_until));
    }

    /// Whether a response to a message may have been corrupted on its way to the relay.
    fn may_be_corrupted(&self, message: &Message) -> bool {
        let corrupted = &self.history.limits.corrupted_responses;
        corrupted.iter().any(|(destination, from)| {
            let mut calls = message.calls.iter();
            *destination == message.request.destination
                && calls.any(|call| call.first_byte_at + CORRUPTED_READ_TIME > *from)
        })
    }
}

/// Whether the client did not read the relay's reply.
fn is_reply_unread(message: &Message) -> bool {
    message.is_abandoned || message.accepted_at.is_none() && message.rejections.is_empty()
}
