//! `order`: in an ordered class, messages with the same ordering key are sent one at a time, in the order of their acceptance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::invariant::Invariant;
use super::tolerance::IN_FLIGHT_TOLERANCE;
use super::violation::Violations;
use crate::history::{Call, History, Message, Observation, ReceivedCall};

const NAME: &str = "order";

/// A message in the sequence of its ordering key.
struct Accepted {
    id: String,
    /// The process that accepted it.
    process: u32,
}

#[derive(Default)]
pub struct OrderedDelivery {
    /// By ordering key: messages in the order of their acceptance.
    sequences: BTreeMap<u64, Vec<Accepted>>,
    /// Messages that had not ended when a later one of their key was sent. They must not be sent again.
    overtaken: BTreeSet<String>,
}

impl Invariant for OrderedDelivery {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::ProcessTerminated => self.overtaken.clear(),
            Observation::ReplyReceived { id, reply } if reply.starts_with('+') => {
                self.record_accepted(history, id);
            }
            Observation::CallReceived {
                call,
                is_connection_open,
            } => self.check_call(history, call, is_connection_open, violations),
            _ => {}
        }
    }
}

impl OrderedDelivery {
    fn record_accepted(&mut self, history: &History, id: &str) {
        let message = history.messages.get(id);
        let message = message.filter(|message| message.accepted_at.is_none());
        if let Some(key) = message.and_then(|message| message.request.ordering_key) {
            self.sequences.entry(key).or_default().push(Accepted {
                id: id.into(),
                process: history.process,
            });
        }
    }

    fn check_call(
        &mut self,
        history: &History,
        call: &ReceivedCall,
        is_connection_open: &dyn Fn(u64) -> bool,
        violations: &mut Violations,
    ) {
        let id = &call.message_id;
        // The order in which a restarted process recovers messages from its journal is not observed.
        let message = history.messages.get(id);
        let message = message.filter(|message| message.process == history.process);
        let Some(message) = message else { return };
        let Some(key) = message.request.ordering_key else {
            return;
        };
        let sequence = self.sequences.get(&key).map_or(&[][..], Vec::as_slice);
        let before = sequence.iter().take_while(|accepted| accepted.id != *id);
        for earlier in before.filter(|accepted| accepted.process == history.process) {
            let earlier_id = &earlier.id;
            let Some(earlier) = history.messages.get(earlier_id) else {
                continue;
            };
            let mut calls = earlier.calls.iter();
            if calls.any(|call| call.is_in_flight() && is_connection_open(call.connection)) {
                violations.report(
                    NAME,
                    format!("{id} went while {earlier_id}, taken before it, is out"),
                );
            }
            let pause = history.limits.ordering_pause;
            let uncertain_end = uncertain_end(earlier);
            if uncertain_end
                .is_some_and(|end| call.first_byte_at + IN_FLIGHT_TOLERANCE < end + pause)
            {
                violations.report(
                    NAME,
                    format!("{id} went before the rest after {earlier_id} was over"),
                );
            }
            // The position of a message whose client did not wait for the reply is not known.
            if !earlier.is_finished() && !earlier.is_abandoned && !message.is_abandoned {
                self.overtaken.insert(earlier_id.clone());
            }
        }
        if self.overtaken.contains(id) {
            violations.report(NAME, format!("{id} went after one that was taken later"));
        }
    }
}

/// When the last call of a message ended without a response, in which case it may still be executing.
fn uncertain_end(message: &Message) -> Option<Duration> {
    let last: &Call = message.calls.last()?;
    let closed_at = last.closed_at.filter(|_| last.response.is_none())?;
    // A host behind a network fault observes the end of a call late. The call had ended when the message did.
    Some(
        message
            .notice
            .map_or(closed_at, |notice| closed_at.min(notice.at)),
    )
}
