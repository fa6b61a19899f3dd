//! Calls that were still open when their messages failed. Their hosts may execute them until they end, so the records of
//! these messages get the ends later.

use std::collections::BTreeMap;

use policy::types::{MessageId, Micros};
use undeliverable::RecordId;

/// A call whose end the record of its message lacks.
#[derive(Clone, Copy, Debug)]
struct UnrecordedCall {
    record: RecordId,
    /// When the call ended; `None` while it is open.
    ended_at: Option<Micros>,
}

/// The end of a call that is to be written to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallEnd {
    /// The failed message.
    pub message: MessageId,
    /// The record of the message.
    pub record: RecordId,
    /// When the call ended.
    pub ended_at: Micros,
}

/// The calls whose ends are not recorded. Their number is bounded by that of the relay's open calls, as a message fails
/// with at most one, and records are added only to a store that can be written.
#[derive(Debug, Default)]
pub struct OpenCalls(BTreeMap<MessageId, UnrecordedCall>);

impl OpenCalls {
    /// Adds the open call of a message that has failed and got this record.
    pub fn add(&mut self, message: MessageId, record: RecordId) {
        let call = UnrecordedCall {
            record,
            ended_at: None,
        };
        self.0.insert(message, call);
    }

    /// Notes that a message's call has ended. Does nothing for any other message.
    pub fn end(&mut self, message: MessageId, ended_at: Micros) {
        if let Some(call) = self.0.get_mut(&message) {
            call.ended_at = Some(ended_at);
        }
    }

    /// Whether a record lacks the end of a call of this process.
    pub fn is_open(&self, record: RecordId) -> bool {
        self.0.values().any(|call| call.record == record)
    }

    /// The ends that are to be written.
    pub fn unrecorded_ends(&self) -> Vec<CallEnd> {
        let ends = self.0.iter().filter_map(|(message, call)| {
            Some(CallEnd {
                message: *message,
                record: call.record,
                ended_at: call.ended_at?,
            })
        });
        ends.collect()
    }

    /// Removes a call whose end is recorded, or whose record is gone.
    pub fn remove(&mut self, message: MessageId) {
        self.0.remove(&message);
    }

    /// Removes all calls, as the store with their records is gone.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
