//! The records of the journal. Postcard identifies variants and fields by position: none is moved, added before
//! others, or removed.

use bytes::Bytes;
use policy::types::{Class, MessageId, Micros};
use relay_events::DeliveryFailure;
use serde::{Deserialize, Serialize};
use undeliverable::{Outcome, RecordId};

/// Bytes that a message takes in the journal beside its body, at most: its metadata and the records of its attempts.
const MAX_MESSAGE_OVERHEAD: usize = 768;

/// A message as its client submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The client's name for it on the wire.
    pub name: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Key whose messages are delivered in order.
    pub ordering_key: Option<u64>,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: String,
    /// Number of its destination.
    pub destination: u16,
    /// Deadline, in microseconds of Unix time.
    pub deadline: Micros,
    /// Whether the client submitted it before.
    pub is_resubmitted: bool,
    /// Its content.
    pub body: Bytes,
}

impl AcceptedMessage {
    /// Bytes that the message takes in the journal, at most.
    pub fn journal_size(&self) -> usize {
        self.body.len() + MAX_MESSAGE_OVERHEAD
    }
}

/// An attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// When it was sent, in microseconds of Unix time.
    pub sent_at: Micros,
    /// Zone of its host.
    pub zone: u8,
    /// False once the attempt is known not to have been executed.
    pub may_have_executed: bool,
}

impl Attempt {
    /// The same attempt, known not to have been executed.
    pub(super) fn not_executed(self) -> Self {
        Attempt {
            may_have_executed: false,
            ..self
        }
    }
}

/// The undeliverable message that a resent message originates from.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResendOrigin {
    /// The record of the undeliverable message.
    pub record: RecordId,
    /// The number of this resend among those of the record.
    pub number: u32,
    /// The first of its attempts that may have been executed, while its idempotency key is still in effect.
    pub past_attempt: Option<Attempt>,
}

/// One entry of the journal. New variants are appended, so that files of earlier versions keep their meaning.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// A message was accepted.
    MessageAccepted {
        id: MessageId,
        message: AcceptedMessage,
    },
    /// The first byte of an attempt's request is about to be written. No byte was written for lower numbers that have no
    /// record.
    AttemptStarted {
        id: MessageId,
        number: u8,
        attempt: Attempt,
    },
    /// An attempt ended without a delivery.
    AttemptEnded {
        id: MessageId,
        number: u8,
        may_have_executed: bool,
    },
    /// Delivery failed permanently. The message stays pending until the platform has been notified.
    DeliveryFailed {
        id: MessageId,
        failure: DeliveryFailure,
    },
    /// The message needs no further work.
    MessageCompleted { id: MessageId },
    /// An undeliverable message was accepted for another delivery.
    ResendAccepted {
        id: MessageId,
        message: AcceptedMessage,
        origin: ResendOrigin,
    },
    /// The host of an attempt and how the attempt ended; only written where undeliverable messages are stored.
    HostOutcome {
        id: MessageId,
        number: u8,
        host: String,
        outcome: Outcome,
    },
    /// The definition of a class for the messages that are accepted from here on.
    ClassDeclared { name: String, class: Class },
    /// The request of an attempt was not written completely, so that its host cannot have executed it.
    AttemptDiscarded { id: MessageId, number: u8 },
}

impl Record {
    /// Whether the record adds a message.
    pub(super) fn accepts_message(&self) -> bool {
        matches!(
            self,
            Record::MessageAccepted { .. } | Record::ResendAccepted { .. }
        )
    }

    /// Whether the record begins work whose end will need space in the journal.
    pub(super) fn starts_work(&self) -> bool {
        self.accepts_message() || matches!(self, Record::AttemptStarted { .. })
    }

    /// Whether the record ends a message's work, so that it may use the reserved space.
    pub(super) fn ends_work(&self) -> bool {
        matches!(
            self,
            Record::DeliveryFailed { .. } | Record::MessageCompleted { .. }
        )
    }
}
