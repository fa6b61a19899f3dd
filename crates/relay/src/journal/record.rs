//! The records of the journal. Postcard identifies variants and fields by position: none may be moved, inserted before
//! others, or removed.

use bytes::Bytes;
use policy::types::{Class, MessageId, Micros};
use relay_events::DeliveryFailure;
use serde::{Deserialize, Serialize};
use undeliverable::{Outcome, RecordId};

/// Maximum bytes that a message takes in the journal beside its body: its metadata and the records of its attempts.
const MAX_MESSAGE_OVERHEAD: usize = 768;

/// A message as its client submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The name that the client gave the message. Hosts and the platform know the message by it.
    pub name: String,
    /// Idempotency key that is sent to the host; `None` if the client gave none.
    pub idempotency_key: Option<String>,
    /// Messages with the same ordering key are delivered in order; `None` if the order does not matter.
    pub ordering_key: Option<u64>,
    /// Name of the message's class.
    pub class: String,
    /// Reference to the message's tenant: the tenant's name, which may be followed by its generation.
    pub tenant: String,
    /// Number of the message's destination.
    pub destination: u16,
    /// Deadline, in microseconds of Unix time.
    pub deadline: Micros,
    /// Whether the client marked the message as submitted before.
    pub is_resubmitted: bool,
    /// Content that is sent to the host.
    pub body: Bytes,
}

impl AcceptedMessage {
    /// Maximum bytes that the message takes in the journal.
    pub fn journal_size(&self) -> usize {
        self.body.len() + MAX_MESSAGE_OVERHEAD
    }
}

/// An attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// When it was sent, in microseconds of Unix time.
    pub sent_at: Micros,
    /// Number of the host's zone.
    pub zone: u8,
    /// False once the attempt is known not to have been executed.
    pub may_have_executed: bool,
}

impl Attempt {
    /// Returns the attempt marked as not executed.
    pub(super) fn not_executed(self) -> Self {
        Attempt {
            may_have_executed: false,
            ..self
        }
    }
}

/// The undeliverable message of which a message is a resend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResendOrigin {
    /// The record of the undeliverable message.
    pub record: RecordId,
    /// Number of this resend among the resends of the record.
    pub number: u32,
    /// The first attempt of the undeliverable message that may have been executed; `None` if there is none, or if its
    /// idempotency key is no longer in effect.
    pub past_attempt: Option<Attempt>,
}

/// One entry of the journal. New variants must be appended, so that files of earlier versions are read correctly.
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
    /// The host of an attempt and how the attempt ended. Written only if undeliverable messages are stored.
    HostOutcome {
        id: MessageId,
        number: u8,
        host: String,
        outcome: Outcome,
    },
    /// The definition of a class for the messages that are accepted after this record.
    ClassDeclared { name: String, class: Class },
    /// The request of an attempt was not written completely, so that its host cannot have executed it.
    AttemptDiscarded { id: MessageId, number: u8 },
    /// A message was not accepted after all, because its client was not told that it was.
    MessageWithdrawn { id: MessageId },
    /// Names of messages that have ended, as [`CompletedNames`](crate::completed_names::CompletedNames) stores them, and the
    /// seed of their hashes.
    NamesCompleted { seed: u64, names: Bytes },
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
            Record::DeliveryFailed { .. }
                | Record::MessageCompleted { .. }
                | Record::MessageWithdrawn { .. }
        )
    }
}
