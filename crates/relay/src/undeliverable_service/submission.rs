//! Queue of undeliverable messages that are not stored yet.

use bytes::Bytes;
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
    /// The record to store.
    pub record: Record,
    /// The body of its message.
    pub body: Bytes,
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

    /// Writes all records to the store, if it is available. Returns their numbers; none if nothing was written.
    pub fn flush(&mut self, store: &mut StoreLifecycle<R>) -> Vec<RecordId> {
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
        self.unsaved_records.clear();
        numbers
    }

    /// Number of records that could not be stored and are lost.
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }
}
