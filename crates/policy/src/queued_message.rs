//! The records of queued messages, their attempts and the order of keys.

use std::collections::VecDeque;

use crate::types::{Message, MessageId, Micros, PastAttempt};

/// What is known of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It has not ended.
    InFlight,
    /// It provably was not executed.
    NotExecuted,
    /// It may have been executed, or may yet be.
    MayHaveExecuted,
}

impl AttemptState {
    /// The state of an attempt that has ended.
    pub(crate) fn of_ended(may_have_executed: bool) -> Self {
        if may_have_executed {
            AttemptState::MayHaveExecuted
        } else {
            AttemptState::NotExecuted
        }
    }
}

/// One attempt to deliver a message.
pub(crate) struct Attempt {
    pub(crate) sent_at: Micros,
    /// Zone of the host it went to.
    pub(crate) zone: u8,
    /// The call it is part of; 0 for an attempt of an earlier process.
    pub(crate) call: u64,
    pub(crate) state: AttemptState,
    pub(crate) is_cancelled: bool,
    /// How long it was expected to hold its slot; 0 where it joined another message's call.
    pub(crate) expected_duration: Micros,
}

impl Attempt {
    /// An attempt of an earlier process, which has ended.
    pub(crate) fn from_past(past: &PastAttempt) -> Self {
        Attempt {
            sent_at: past.sent_at,
            zone: past.zone,
            call: 0,
            state: AttemptState::of_ended(past.may_have_executed),
            is_cancelled: false,
            expected_duration: 0,
        }
    }
}

/// How a message came from an earlier process that made no attempt which reached a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// It did not, or an attempt has reached a host since.
    None,
    /// A restart found it.
    Restored,
    /// A process handed it over that was still running.
    Adopted,
}

/// A message in the queue, waiting or in flight.
pub(crate) struct QueuedMessage {
    pub(crate) message: Message,
    /// Its value falls after this moment.
    pub(crate) objective_at: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// No attempt starts before this moment.
    pub(crate) not_before: Micros,
    /// It needs no final answer any more; it stays while attempts are in flight.
    pub(crate) is_settled: bool,
    /// Its streamed answer has started.
    pub(crate) response_started: bool,
    pub(crate) value: f64,
    /// The earlier process that accepted it, until an attempt reaches a host.
    pub(crate) recovery: Recovery,
}

impl QueuedMessage {
    /// A message without attempts.
    pub(crate) fn new(message: Message, objective_at: Micros, value: f64) -> Self {
        QueuedMessage {
            message,
            objective_at,
            attempts: Vec::new(),
            not_before: 0,
            is_settled: false,
            response_started: false,
            value,
            recovery: Recovery::None,
        }
    }

    /// Whether an attempt has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether it needs an attempt: no final answer was given or started, and none is in flight.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_settled && !self.response_started && !self.is_in_flight()
    }

    /// Whether it was recovered and no attempt has reached a host or is in flight.
    pub(crate) fn is_unattempted(&self) -> bool {
        self.recovery != Recovery::None && !self.is_in_flight()
    }

    /// Whether that was by a restart, which has cost it time.
    pub(crate) fn is_unattempted_since_restart(&self) -> bool {
        self.recovery == Recovery::Restored && !self.is_in_flight()
    }

    /// The last attempt, if it is in flight and was not cancelled.
    pub(crate) fn cancellable_attempt(&self) -> Option<&Attempt> {
        let last = self.attempts.last()?;
        Some(last).filter(|last| last.state == AttemptState::InFlight && !last.is_cancelled)
    }

    /// The first attempt that may have been executed, or may yet be.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted)
    }
}

/// The queued messages of one ordering key, in the order of their arrival.
#[derive(Default)]
pub(crate) struct OrderedKey {
    pub(crate) queue: VecDeque<MessageId>,
    /// An attempt may still be running at its host until this moment.
    pub(crate) blocked_until: Micros,
}
