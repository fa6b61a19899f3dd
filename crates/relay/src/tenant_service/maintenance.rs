//! Maintenance between requests: removes drained tenants, writes waiting changes to the audit log, and rewrites the
//! replicas.

use policy::types::Event;
use runtime::{log, Runtime};

use super::hosted::HostedTenants;

/// Delay before a removal that could not be written is retried, in milliseconds.
const REMOVAL_RETRY_INTERVAL_MS: u64 = 1000;

impl<R: Runtime> HostedTenants<R> {
    /// Runs one step of the maintenance. Returns whether further steps are due.
    pub(super) fn run_maintenance(&mut self, events: &mut Vec<Event>) -> bool {
        self.remove_drained(events);
        // A rewrite drops changes from the replicas, so it waits until the audit log has all of them.
        if self.audit_log.unlogged_changes() > 0 {
            self.audit_log.flush();
        }
        if self.audit_log.unlogged_changes() == 0 {
            self.store.continue_rewrite(&self.registry);
        }
        self.store.is_rewriting()
    }

    /// Removes a tenant that has drained, if there is one.
    fn remove_drained(&mut self, events: &mut Vec<Event>) {
        let now = self.now_ms();
        let due = self.registry.next_drained(now);
        let Some(record) = due.filter(|_| self.next_removal_at_ms <= now) else {
            return;
        };
        if let Err(error) = self.commit(&record, events) {
            log!(
                self.runtime,
                "tenants: removal_postponed retry_after_ms={REMOVAL_RETRY_INTERVAL_MS} error={error}"
            );
            self.next_removal_at_ms = now + REMOVAL_RETRY_INTERVAL_MS;
        }
    }
}
