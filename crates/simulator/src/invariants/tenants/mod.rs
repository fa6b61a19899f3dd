//! `registry`, `admission`, `another's`, `abandoned`: a confirmed change of a tenant stays in effect.
//!
//! These invariants share the state of each tenant as responses have shown it ([`known_tenant`]).

mod admission;
mod known_tenant;
mod removal;

use std::collections::BTreeMap;
use std::time::Duration;

use admission::Admission;
use known_tenant::{is_reopening, KnownTenant};
use removal::Recoveries;

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation, TenantChange, TenantSnapshot, TenantVersion};

/// The response of a relay that could not save a change, which may be requested again.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A response to a change of a tenant.
struct ChangeResponse<'a> {
    change_id: u64,
    tenant: &'a str,
    status: u16,
    snapshot: Option<&'a TenantSnapshot>,
    is_replayed: bool,
}

#[derive(Default)]
pub struct Tenants {
    tenants: BTreeMap<String, KnownTenant>,
    /// By change: the newest version that was known when it was requested.
    known_at_request: BTreeMap<u64, TenantVersion>,
    admission: Admission,
    recoveries: Recoveries,
}

impl Invariant for Tenants {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::TenantChangeRequested {
                change_id,
                tenant,
                change,
            } => self.record_request(history, *change_id, tenant, *change),
            Observation::TenantChangeResponse {
                change_id,
                tenant,
                status,
                snapshot,
                is_replayed,
            } => {
                let response = ChangeResponse {
                    change_id: *change_id,
                    tenant,
                    status: *status,
                    snapshot: *snapshot,
                    is_replayed: *is_replayed,
                };
                self.record_response(history.now, &response, violations);
            }
            Observation::TenantChangeTimedOut { change_id, tenant } => {
                self.known(tenant).record_timeout(*change_id);
            }
            Observation::TenantRead {
                tenant,
                requested_at,
                snapshot,
            } => self.record_read(history.now, tenant, *requested_at, *snapshot, violations),
            Observation::RequestSent(request) => {
                let tenant = self.tenants.get(&request.tenant);
                let closed_since = tenant.and_then(|tenant| tenant.closed_since);
                self.admission
                    .record_request(history, request, closed_since);
            }
            Observation::ReplyReceived { id, reply } if reply.starts_with('+') => {
                self.admission.check_accepted(id, violations);
            }
            Observation::CallReceived { call, .. } => {
                self.admission.check_call(&call.message_id, violations);
            }
            Observation::DestinationOutage {
                destination,
                is_down,
            } => self
                .recoveries
                .record_outage(history.now, *destination, *is_down),
            Observation::Tick => {
                removal::check_rejected(history, &self.tenants, &self.recoveries, violations);
            }
            _ => {}
        }
    }
}

impl Tenants {
    fn known(&mut self, tenant: &str) -> &mut KnownTenant {
        self.tenants.entry(tenant.into()).or_default()
    }

    fn record_request(
        &mut self,
        history: &History,
        change_id: u64,
        tenant: &str,
        change: TenantChange,
    ) {
        let known = self.known(tenant);
        known.pending_changes.insert(change_id, change);
        let newest = known.newest;
        if is_reopening(&change) {
            known.closed_since = None;
        }
        if change == TenantChange::Create {
            known.rejected_since = None;
            known.created_at = history.now;
        }
        self.known_at_request.insert(change_id, newest);
        if is_reopening(&change) {
            // Requests in flight may arrive after the change.
            self.admission.reopen(history, tenant);
        }
    }

    fn record_response(
        &mut self,
        now: Duration,
        response: &ChangeResponse<'_>,
        violations: &mut Violations,
    ) {
        let change_id = response.change_id;
        let known = self.tenants.entry(response.tenant.into()).or_default();
        let change = known.pending_changes.remove(&change_id);
        if response.status == SERVICE_UNAVAILABLE {
            let change = change.map(|change| (change_id, change));
            known.pending_changes.extend(change);
        }
        let is_success = (200..300).contains(&response.status);
        let Some(snapshot) = response.snapshot.filter(|_| is_success) else {
            return;
        };
        // A replayed response may contain an outdated state.
        let before = if response.is_replayed {
            TenantVersion::default()
        } else {
            let before = self.known_at_request.get(&change_id);
            before.copied().unwrap_or_default()
        };
        known.record_snapshot(now, response.tenant, snapshot, before, violations);
        // While another change is pending, the order of the two is not known.
        let is_last = known.newest == snapshot.version
            && !response.is_replayed
            && !known.may_have_changed(is_reopening);
        if let Some(change) = change.filter(|_| is_last) {
            known.record_confirmed(now, change);
        }
    }

    fn record_read(
        &mut self,
        now: Duration,
        tenant: &str,
        requested_at: Duration,
        snapshot: Option<&TenantSnapshot>,
        violations: &mut Violations,
    ) {
        let known = self.known(tenant);
        match snapshot {
            Some(snapshot) => {
                let before = known.version_at(requested_at);
                known.record_snapshot(now, tenant, snapshot, before, violations);
            }
            None => known.check_absence(tenant, requested_at, violations),
        }
    }
}
