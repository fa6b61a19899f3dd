//! Periodic work: the tenants' maintenance, the undeliverable service and the host counts.

use std::time::Instant;

use control::HostCounts;
use runtime::Runtime;

use super::EventLoop;
use crate::undeliverable_service::UndeliverableService;

impl<R: Runtime> EventLoop<R> {
    /// Runs a step of the tenants' maintenance, unless the disk is full. Returns whether another step is due soon.
    pub fn run_tenant_maintenance(&mut self) -> bool {
        self.journal.borrow().has_reserve()
            && self.tenants.run_maintenance(&mut self.pending_events)
    }

    /// When the undeliverable service is to run next; `None` if there is no such service.
    pub fn next_undeliverable_run_at(&self) -> Option<Instant> {
        self.undeliverable
            .as_ref()
            .map(UndeliverableService::next_run_at)
    }

    /// Updates the host counts of the metrics if that is due, and returns when it was due.
    pub fn update_host_counts_if_due(&mut self, now: Instant) -> Option<Instant> {
        let due_at = self.control.next_host_count_at()?;
        if due_at <= now {
            self.update_host_counts();
        }
        Some(due_at)
    }

    fn update_host_counts(&self) {
        let disabled = self.policy.ejected_hosts(self.clock.now());
        self.control.set_host_counts(HostCounts {
            listed: self.host_directory.count(),
            disabled,
        });
    }
}
