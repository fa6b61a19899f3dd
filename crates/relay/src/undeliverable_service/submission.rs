//! Queue of undeliverable messages that are not stored yet.

use bytes::Bytes;
use policy::types::{MessageId, Micros};
use runtime::{log, Runtime};
use undeliverable::{Record, RecordId};

use super::store_lifecycle::StoreLifecycle;

/// Maximum number of records that wait for an unavailable store. Beyond it the oldest is dropped and counted.
const MAX_UNSAVED_RECORDS: usize = 1000;
/// One of this many dropped records is logged.
const DROPPED_RECORDS_PER_LOG_LINE: u64 = 100;

/// A record that is not stored yet.
#[derive(Clone, Debug)]
pub struct UnsavedRecord {
    /// The message that failed.
    pub message: MessageId,
    /// The record to store.
    pub record: Record,
    /// The body of its message.
    pub body: Bytes,
}

/// A record that was stored.
#[derive(Clone, Copy, Debug)]
pub struct SavedRecord {
    /// The record's number.
    pub id: RecordId,
    /// The message that failed.
    pub message: MessageId,
    /// Whether a call of the message is still open.
    pub is_call_open: bool,
}

/// Records that wait to be stored.
pub struct Submission<R: Runtime> {
    runtime: R,
    unsaved_records: Vec<UnsavedRecord>,
    dropped_records: u64,
}

impl<R: Runtime> Submission<R> {
    /// Creates an empty queue.
    pub fn new(runtime: R) -> Self {
        Submission {
            runtime,
            unsaved_records: Vec::new(),
            dropped_records: 0,
        }
    }

    /// Adds a record, which the next [`Submission::flush`] stores.
    pub fn add(&mut self, record: UnsavedRecord) {
        if self.unsaved_records.len() >= MAX_UNSAVED_RECORDS {
            self.unsaved_records.remove(0);
            self.count_dropped();
        }
        self.unsaved_records.push(record);
    }

    /// Records the end of a message's open call. Returns whether the record of the message is in the queue.
    pub fn record_calls_end(&mut self, message: MessageId, ended_at: Micros) -> bool {
        let mut queued = self.unsaved_records.iter_mut();
        let Some(unsaved) = queued.find(|unsaved| unsaved.message == message) else {
            return false;
        };
        unsaved.record.record_calls_end(ended_at);
        true
    }

    fn count_dropped(&mut self) {
        self.dropped_records += 1;
        if self.dropped_records % DROPPED_RECORDS_PER_LOG_LINE == 1 {
            log!(
                self.runtime,
                "undeliverable: records_dropped total={}",
                self.dropped_records
            );
        }
    }

    /// Writes all records to the store, if it is available. Returns those that were written.
    pub fn flush(&mut self, store: &mut StoreLifecycle<R>) -> Vec<SavedRecord> {
        if self.unsaved_records.is_empty() || !store.is_available() {
            return Vec::new();
        }
        let records: Vec<(Record, &[u8])> = self
            .unsaved_records
            .iter()
            .map(|unsaved| (unsaved.record.clone(), &unsaved.body[..]))
            .collect();
        let Some(numbers) = store.access(|store| store.insert(&records)) else {
            return Vec::new();
        };
        let saved = self.unsaved_records.drain(..).zip(numbers);
        saved
            .map(|(unsaved, id)| SavedRecord {
                id,
                message: unsaved.message,
                is_call_open: unsaved.record.calls_ended_at.is_none(),
            })
            .collect()
    }

    /// Number of records that could not be stored and are lost.
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }
}
