//! Fill levels of the relay's tables, for the call log.

use policy::types::Micros;
use runtime::Runtime;

use super::EventLoop;
use crate::call_log::TableLevel;
use crate::classes;

/// Capacity of the ordering keys, as a multiple of the maximum of queued messages. The policy drops idle keys once there
/// are more than twice the queued messages plus that maximum.
const ORDERING_KEYS_PER_QUEUED_MESSAGE: usize = 3;

impl<R: Runtime> EventLoop<R> {
    /// Writes the levels to the call log when they are due.
    pub(super) fn log_table_levels(&mut self, now: Micros) {
        if self.call_log.table_levels_due(now) {
            self.call_log.record_table_levels(now, &self.table_levels());
            self.call_log
                .record_closed_connections(now, self.host_connections.close_counts());
        }
    }

    /// The level of each table that grows with traffic. All are counts, except that of the journal, which is in
    /// bytes.
    fn table_levels(&self) -> Vec<TableLevel> {
        let settings = &self.config.settings;
        let level = |name, used, capacity| TableLevel {
            name,
            used,
            capacity,
        };
        let journal = self.journal.borrow();
        let ended = self.in_flight.ended().borrow();
        vec![
            level("held", self.in_flight.len(), settings.max_queued),
            level("names", ended.len(), ended.capacity()),
            level("calls", self.open_calls.len(), settings.max_calls),
            // A failed message stays in the journal until the platform has accepted its notification.
            level("notices", self.notifications.len(), journal.pending().len()),
            level(
                "idle",
                self.host_connections.idle_connections(),
                self.host_connections.max_idle_connections(),
            ),
            level("classes", self.classes.len(), classes::MAX_CLASSES),
            level(
                "turns",
                self.policy.handover_snapshot().ordered_keys.len(),
                ORDERING_KEYS_PER_QUEUED_MESSAGE * settings.max_queued,
            ),
            level("journal", journal.length(), journal.max_length()),
        ]
    }
}
