//! Counts of observations.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::history::{CallOutcome, History, Observation};

/// Counts of observations, for the report.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that clients sent, each repetition counted.
    #[serde(rename = "handed")]
    pub submitted: u64,
    /// Replies of `+OK`.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Replies of `-BUSY`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Calls that arrived completely at a host.
    pub calls: u64,
    /// Accepted messages to which a host responded with 200.
    pub delivered: u64,
    /// Messages that ended with an `undeliverable` notice.
    pub undeliverable: u64,
    /// Messages that ended with a `deferred` notice.
    pub deferred: u64,
    /// Ends of relay processes by kill, termination or crash.
    pub restarts: u64,
    /// Calls that hosts rejected.
    #[serde(rename = "turned_away")]
    pub rejected_calls: u64,
    /// Deliveries that met the latency objective of their class.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Polls of discovery.
    #[serde(rename = "lists")]
    pub discovery_polls: u64,
    /// Connections that hosts accepted.
    #[serde(rename = "opened")]
    pub host_connections: u64,
    /// Maximum number of connections that one host held at a time.
    #[serde(rename = "most_open")]
    pub max_open_connections: u64,
    /// Records of undeliverable messages that were read at the end.
    pub records: u64,
    /// Records whose message was delivered by a resend.
    pub resent: u64,
    /// Records whose message was found to have taken effect before.
    pub applied_before: u64,
}

/// Prints the field names of the JSON, as the text is a part of the output of `replay`.
impl fmt::Debug for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Counts")
            .field("handed", &self.submitted)
            .field("taken", &self.accepted)
            .field("refused", &self.rejected)
            .field("calls", &self.calls)
            .field("delivered", &self.delivered)
            .field("undeliverable", &self.undeliverable)
            .field("deferred", &self.deferred)
            .field("restarts", &self.restarts)
            .field("turned_away", &self.rejected_calls)
            .field("in_aim", &self.within_objective)
            .field("lists", &self.discovery_polls)
            .field("opened", &self.host_connections)
            .field("most_open", &self.max_open_connections)
            .field("records", &self.records)
            .field("resent", &self.resent)
            .field("applied_before", &self.applied_before)
            .finish()
    }
}

impl Counts {
    /// Counts an observation that the history has not recorded yet.
    pub(super) fn count(&mut self, history: &History, observation: &Observation<'_>) {
        match observation {
            Observation::ProcessTerminated => self.restarts += 1,
            Observation::RequestSent(_) => self.submitted += 1,
            Observation::DiscoveryPolled => self.discovery_polls += 1,
            Observation::HostConnectionAccepted(open) => {
                self.host_connections += 1;
                self.max_open_connections = self.max_open_connections.max(*open as u64);
            }
            Observation::UndeliverableRecordRead { state, .. } => {
                self.records += 1;
                self.resent += u64::from(*state == "delivered");
                self.applied_before += u64::from(*state == "applied-before");
            }
            Observation::CallReceived { .. } => self.calls += 1,
            Observation::ResponseStarted { call, outcome } => match outcome {
                CallOutcome::Rejected { .. } => self.rejected_calls += 1,
                CallOutcome::Delivered => self.count_delivery(history, &call.message_id),
                CallOutcome::MayHaveExecuted => {}
            },
            Observation::ReplyReceived { id, reply } => self.count_reply(history, id, reply),
            Observation::NoticeReceived { id, status } => self.count_notice(history, id, status),
            _ => {}
        }
    }

    fn count_reply(&mut self, history: &History, id: &str, reply: &str) {
        let Some(message) = history.messages.get(id) else {
            return;
        };
        if reply.starts_with("-BUSY") {
            self.rejected += 1;
        } else if reply.starts_with('+') && message.accepted_at.is_none() {
            self.accepted += 1;
            self.delivered += u64::from(message.delivered_at.is_some());
        }
    }

    /// Counts the first delivery of an accepted message.
    fn count_delivery(&mut self, history: &History, id: &str) {
        let Some(message) = history.messages.get(id) else {
            return;
        };
        if message.delivered_at.is_some() || message.accepted_at.is_none() {
            return;
        }
        let time_after_objective: Duration = history.limits.time_after_objective;
        let meets_objective = history.now + time_after_objective <= message.request.deadline;
        self.delivered += 1;
        self.within_objective += u64::from(meets_objective);
    }

    fn count_notice(&mut self, history: &History, id: &str, status: &str) {
        let message = history.messages.get(id);
        if message.is_some_and(|message| message.notice.is_none()) {
            self.undeliverable += u64::from(status == "undeliverable");
            self.deferred += u64::from(status == "deferred");
        }
    }
}
