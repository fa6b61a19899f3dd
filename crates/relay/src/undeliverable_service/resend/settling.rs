//! Delays the resend of a record until the calls of its last delivery have ended.

use std::time::Duration;

use policy::types::{MessageId, Micros};
use runtime::Runtime;
use undeliverable::record::RecordError;
use undeliverable::store::StoreError;
use undeliverable::RecordId;

use super::super::resend_outcome::ResendOutcome;
use super::super::submission::SavedRecord;
use super::Resender;

/// Minimum time between the failure of a record's delivery and its resend, so that a resend does not immediately follow the
/// call that failed.
const RESEND_SETTLE_TIME: Duration = Duration::from_secs(1);

impl<R: Runtime> Resender<R> {
    /// Delays the first resend of records that were stored, and notes which of them have an open call.
    pub fn records_saved(&mut self, saved: &[SavedRecord]) {
        for record in saved {
            self.settle(record.id);
            if record.is_call_open {
                self.open_calls.add(record.message, record.id);
            }
        }
    }

    /// Delays the next resend of a record.
    pub(super) fn settle(&mut self, record: RecordId) {
        let now = self.runtime.now();
        self.settling_until.retain(|_, until| *until > now);
        self.settling_until.insert(record, now + RESEND_SETTLE_TIME);
    }

    /// Whether it is too early to resend a record, for instance as a call is still open.
    pub fn is_settling(&self, id: RecordId) -> bool {
        let now = self.runtime.now();
        let rests_until = self.settling_until.get(&id);
        rests_until.is_some_and(|until| *until > now) || self.open_calls.is_open(id)
    }

    /// Records that no call of a failed message is open any more.
    pub fn calls_ended(&mut self, message: MessageId, ended_at: Micros) {
        if let Some(ResendOutcome::Failed(failed)) = self.unsaved_outcomes.get_mut(&message) {
            failed.record_calls_end(ended_at);
        }
        self.open_calls.end(message, ended_at);
        self.write_call_ends();
    }

    /// Writes the ends of calls to the records that lack them. An end that cannot be written is kept, and blocks the resend
    /// of its record until then.
    pub fn write_call_ends(&mut self) {
        for end in self.open_calls.unrecorded_ends() {
            let written = self.store.get().map(|store| {
                store.update(end.record, |record| {
                    record.record_calls_end(end.ended_at);
                    Ok::<_, RecordError>(())
                })
            });
            match written {
                None => return,
                Some(Ok(_) | Err(StoreError::Unreadable(_))) => self.open_calls.remove(end.message),
                Some(Err(error)) => self.store.mark_unavailable(&error),
            }
        }
    }

    /// Forgets what belongs to the records of a store that has been replaced by an empty one.
    pub fn store_replaced(&mut self) {
        self.open_calls.clear();
    }
}
