//! Writes the state that has to outlast the process: journal records, the cached host list and the time of the last
//! contact with discovery. A failed write is logged, and the relay continues.

use std::io;
use std::time::{Duration, Instant};

use policy::types::{MessageId, Outage};
use runtime::{log, Runtime};

use super::EventLoop;
use crate::cached_state::{self, CachedState};

/// Minimum time between two tries to write the records that the journal lacks.
const MISSING_RECORDS_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Logs a failed write to the journal.
pub(super) fn log_write_error(runtime: &impl Runtime, result: io::Result<()>) {
    if let Err(error) = result {
        log!(*runtime, "journal: write_failed error={error}");
    }
}

impl<R: Runtime> EventLoop<R> {
    /// Removes a message from the journal, as it needs no further work.
    pub(super) fn release_message(&mut self, id: MessageId) {
        let mut journal = self.journal.borrow_mut();
        if let Some(pending) = journal.pending().get(&id) {
            self.tenants.message_released(&pending.accepted.tenant);
        }
        log_write_error(&self.runtime, journal.remove_message(id));
    }

    /// Writes the records that the journal lacks because earlier writes failed. Returns when to try again, if needed.
    pub fn write_missing_records_if_due(&mut self, now: Instant) -> Option<Instant> {
        let mut journal = self.journal.borrow_mut();
        if !journal.lacks_records() {
            return None;
        }
        if self.missing_records_due_at <= now {
            log_write_error(&self.runtime, journal.write_missing_records());
            self.missing_records_due_at = now + MISSING_RECORDS_RETRY_DELAY;
        }
        journal
            .lacks_records()
            .then_some(self.missing_records_due_at)
    }

    /// Writes the definitions of the classes in force to the journal. A message keeps the definition under which it was
    /// accepted, even if the class is changed or removed later.
    pub(super) fn declare_classes(&mut self) {
        log_write_error(
            &self.runtime,
            self.journal
                .borrow_mut()
                .declare_classes(self.classes.in_force()),
        );
    }

    /// Saves the host list and the outages if either has changed.
    pub(super) fn save_cached_state(&mut self) {
        let outages: Vec<Outage> = self.policy.outages().collect();
        if !self.host_directory.take_changed() && self.cached_state.outages == outages {
            return;
        }
        self.cached_state = CachedState {
            list: self.host_directory.full_list(),
            outages,
        };
        if let Err(error) =
            self.cached_state
                .save(&self.runtime, &self.config.state, self.disk_limit)
        {
            log!(self.runtime, "cached_state: write_failed error={error}");
        }
    }

    /// Records the time of the last contact with discovery. Where lists are pushed, no record is needed: discovery
    /// assumes that the next process has what its agent has received.
    pub(super) fn record_discovery_contact(&self) {
        if !self.config.settings.polls_discovery {
            return;
        }
        if let Err(error) =
            cached_state::record_contact(&self.runtime, &self.config.state, self.clock.now())
        {
            log!(
                self.runtime,
                "cached_state: contact_time_not_written error={error}"
            );
        }
    }
}
