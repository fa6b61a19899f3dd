//! Records of queued messages, their attempts and their ordering keys.

use std::collections::VecDeque;

use crate::types::{Message, MessageId, Micros, PastAttempt};

/// State of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt has not ended.
    InFlight,
    /// The attempt ended and provably was not executed.
    NotExecuted,
    /// The attempt ended; it may have been executed or may still be.
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
    /// Zone of the called host.
    pub(crate) zone: u8,
    /// Number of the call that contains the attempt; 0 for an attempt of an earlier process.
    pub(crate) call: u64,
    pub(crate) state: AttemptState,
    pub(crate) is_cancelled: bool,
    /// The call was answered and holds no slot any more, but its response is not confirmed.
    pub(crate) is_answered: bool,
    /// How long the attempt was expected to hold its slot; 0 if it joined the call of another message.
    pub(crate) expected_duration: Micros,
}

impl Attempt {
    /// Creates the record of an attempt of an earlier process that has ended.
    pub(crate) fn from_past(past: &PastAttempt) -> Self {
        Attempt {
            sent_at: past.sent_at,
            zone: past.zone,
            call: 0,
            state: AttemptState::of_ended(past.may_have_executed),
            is_cancelled: false,
            is_answered: false,
            expected_duration: 0,
        }
    }
}

/// How a message came from an earlier process, if none of its attempts has reached a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// The message is not from an earlier process, or an attempt has reached a host.
    None,
    /// The message was restored after a restart.
    Restored,
    /// The message was handed over by a process that was still running.
    Adopted,
}

/// A message in the queue, waiting or in flight.
pub(crate) struct QueuedMessage {
    pub(crate) message: Message,
    /// Time after which the value of the message decreases.
    pub(crate) objective_at: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// Earliest time of the next attempt.
    pub(crate) not_before: Micros,
    /// The message needs no further final answer; it stays in the queue while attempts are in flight.
    pub(crate) is_settled: bool,
    /// The streamed answer of the message has started.
    pub(crate) response_started: bool,
    pub(crate) value: f64,
    /// The message counts against the capacity of the queue. One that was answered as delivered no longer does, although
    /// the response may not be confirmed.
    pub(crate) uses_capacity: bool,
    /// How the message came from an earlier process; reset once an attempt reaches a host.
    pub(crate) recovery: Recovery,
    /// The message was recovered, but others that have more time left take the calls that its destination accepts.
    pub(crate) is_unreachable: bool,
}

impl QueuedMessage {
    /// Creates a queued message without attempts.
    pub(crate) fn new(message: Message, objective_at: Micros, value: f64) -> Self {
        QueuedMessage {
            message,
            objective_at,
            attempts: Vec::new(),
            not_before: 0,
            is_settled: false,
            response_started: false,
            value,
            uses_capacity: true,
            recovery: Recovery::None,
            is_unreachable: false,
        }
    }

    /// Whether any attempt has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether the message needs an attempt: no final answer was given or started, and no attempt is in flight.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_settled && !self.response_started && !self.is_in_flight()
    }

    /// Whether the message was recovered and no attempt has reached a host or is in flight.
    pub(crate) fn is_unattempted(&self) -> bool {
        self.recovery != Recovery::None && !self.is_in_flight()
    }

    /// Whether the message is unattempted and was restored after a restart, which has delayed it.
    pub(crate) fn is_unattempted_since_restart(&self) -> bool {
        self.recovery == Recovery::Restored && !self.is_in_flight()
    }

    /// The last attempt, if it holds a slot and was not cancelled.
    pub(crate) fn cancellable_attempt(&self) -> Option<&Attempt> {
        let last = self.attempts.last()?;
        let holds_slot = last.state == AttemptState::InFlight && !last.is_answered;
        Some(last).filter(|last| holds_slot && !last.is_cancelled)
    }

    /// The first attempt that may have been executed or may still be, in flight included.
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
    /// Time until which an attempt may still be running at its host.
    pub(crate) blocked_until: Micros,
}
