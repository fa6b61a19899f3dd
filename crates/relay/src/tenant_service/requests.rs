//! Requests of front ends about tenants, the audit log and the registry.

use policy::scheduler::TenantUsage;
use policy::types::{Event, TenantId};
use relay_events::tenants::{
    RegistryReport, TenantRequest, TenantResponse, TenantView, UsageReport,
};
use runtime::Runtime;
use tenancy::audit::Entry;
use tenancy::registry::{Tenant, TenantEntry};
use tenancy::Scope;

use super::hosted::HostedTenants;

impl<R: Runtime> HostedTenants<R> {
    /// Answers a request. The events for the policy are added to `events`; `load` returns a tenant's current load.
    pub(super) fn handle_request(
        &mut self,
        request: TenantRequest,
        load: impl Fn(TenantId) -> TenantUsage,
        events: &mut Vec<Event>,
    ) -> TenantResponse {
        match request {
            TenantRequest::Change(command) => self.change(*command, events),
            TenantRequest::Find(name) => self.find(&name),
            TenantRequest::Page {
                after,
                limit,
                scope,
            } => self.tenant_page(after.as_deref(), limit, &scope),
            TenantRequest::UsageReport(name) => self.usage_report(&name, load),
            TenantRequest::Audit {
                before,
                limit,
                scope,
                tenant,
            } => {
                let is_selected = |entry: &Entry| {
                    scope.covers(&entry.tenant)
                        && tenant.as_ref().is_none_or(|name| entry.tenant == *name)
                };
                self.audit_page(before, limit, is_selected)
            }
            TenantRequest::RegistryReport => TenantResponse::RegistryReport(self.registry_report()),
        }
    }

    /// A tenant with the versions of its draining predecessors, for front ends.
    pub(super) fn view(&self, tenant: Tenant) -> Box<TenantView> {
        let draining = self
            .registry
            .draining_entries(&tenant.name)
            .iter()
            .map(|entry| entry.tenant.version)
            .filter(|version| version.generation != tenant.version.generation)
            .collect();
        Box::new(TenantView { tenant, draining })
    }

    fn find(&self, name: &str) -> TenantResponse {
        match self.registry.find(name) {
            Ok(entry) => TenantResponse::Found(self.view(entry.tenant.clone())),
            Err(reason) => TenantResponse::Refused(reason),
        }
    }

    fn tenant_page(&self, after: Option<&str>, page_size: usize, scope: &Scope) -> TenantResponse {
        let mut entries = self
            .registry
            .newest_entries_after(after)
            .filter(|entry| scope.covers(&entry.tenant.name));
        let tenants = entries
            .by_ref()
            .take(page_size)
            .map(|entry| *self.view(entry.tenant.clone()))
            .collect();
        TenantResponse::Page(tenants, entries.next().is_some())
    }

    fn usage_report(&self, name: &str, load: impl Fn(TenantId) -> TenantUsage) -> TenantResponse {
        let newest = match self.registry.find(name) {
            Ok(entry) => entry,
            Err(reason) => return TenantResponse::Refused(reason),
        };
        let draining = self
            .registry
            .draining_entries(name)
            .iter()
            .filter(|entry| entry.number != newest.number);
        let reports = std::iter::once(newest)
            .chain(draining)
            .map(|entry| usage_of(entry, load(entry.number)))
            .collect();
        TenantResponse::UsageReport(reports, self.started_at_ms)
    }

    fn audit_page(
        &self,
        before: Option<u64>,
        page_size: usize,
        is_selected: impl Fn(&Entry) -> bool,
    ) -> TenantResponse {
        let mut entries = self
            .audit_log
            .newest(before)
            .filter(|entry| is_selected(entry));
        let page = entries.by_ref().take(page_size).cloned().collect();
        TenantResponse::Audit(page, entries.next().is_some())
    }

    fn registry_report(&self) -> RegistryReport {
        RegistryReport {
            tenants: self.registry.len(),
            seq: self.registry.last_sequence(),
            lost_changes: self.store.lost_changes(),
            unlogged_changes: self.audit_log.unlogged_changes(),
            since_ms: self.started_at_ms,
        }
    }
}

fn usage_of(entry: &TenantEntry, load: TenantUsage) -> UsageReport {
    UsageReport {
        name: entry.tenant.name.clone(),
        version: entry.tenant.version,
        counts: entry.counts,
        queued: load.queued,
        in_flight: load.in_flight,
        unacknowledged: entry.unacknowledged,
    }
}
