//! Tenants that administrators change: the registry, its replicas on disk and the audit log.

use std::path::Path;

use policy::types::Micros;
use relay_events::Clock;
use runtime::{log, Runtime};
use tenancy::Registry;

use super::audit_log::AuditLog;
use super::error::TenantsError;
use super::replica_store::{OpenedStore, ReplicaStore};
use crate::operator_config;

/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1000;

/// Tenants that administrators change.
pub struct HostedTenants<R: Runtime> {
    pub(super) runtime: R,
    pub(super) clock: Clock<R>,
    pub(super) registry: Registry,
    pub(super) store: ReplicaStore<R>,
    pub(super) audit_log: AuditLog<R>,
    /// Whether clients have to authenticate.
    pub(super) requires_login: bool,
    /// When the relay started, in milliseconds since the Unix epoch.
    pub(super) started_at_ms: u64,
    /// No drained tenant is removed before this time, in milliseconds since the Unix epoch.
    pub(super) next_removal_at_ms: u64,
}

/// A tenant of the settings.
pub(super) struct ConfiguredTenant {
    pub name: String,
    /// Its share of the capacity, as a fraction.
    pub share: f64,
}

impl<R: Runtime> HostedTenants<R> {
    /// Opens the registry and the audit log. The `configured` tenants are imported into a new registry if the operator
    /// file enables that.
    pub(super) fn open(
        runtime: &R,
        clock: &Clock<R>,
        operator: &operator_config::Tenants,
        configured: Vec<ConfiguredTenant>,
        classes: &[String],
    ) -> Result<Self, TenantsError> {
        let folder = Path::new(&operator.folder);
        let OpenedStore {
            mut store,
            mut registry,
            changes,
            is_new,
        } = ReplicaStore::open(runtime, folder, operator.max_replica_bytes(), classes)?;
        let audit_log = AuditLog::open(runtime, folder, operator.audit_log_limits(), &changes)?;
        // If both replicas lost their last lines, only the audit log still contains these changes.
        let lost_changes = registry.skip_to_sequence(audit_log.last_logged());
        if lost_changes > 0 {
            log!(
                *runtime,
                "tenants: trailing_changes_lost changes={lost_changes}"
            );
            store.add_lost_changes(lost_changes);
        }
        let mut hosted = HostedTenants {
            runtime: runtime.clone(),
            clock: clock.clone(),
            registry,
            store,
            audit_log,
            requires_login: operator.auth,
            started_at_ms: now_ms(clock),
            next_removal_at_ms: 0,
        };
        if is_new && operator.import {
            hosted.import(configured)?;
        }
        Ok(hosted)
    }

    /// The current time, in milliseconds since the Unix epoch.
    pub(super) fn now_ms(&self) -> u64 {
        now_ms(&self.clock)
    }

    /// Counts a message that a client of this tenant submitted for another one.
    pub(super) fn count_rejected(&mut self, name: &str) {
        let Ok(entry) = self.registry.find(name) else {
            return;
        };
        let reference = entry.tenant.reference();
        if let Some(entry) = self.registry.entry_by_reference(&reference) {
            entry.counts.rejected += 1;
        }
    }
}

/// The time of the relay's clock, in milliseconds since the Unix epoch. The clock is not affected by steps of the wall
/// clock, so it can be used to measure intervals.
fn now_ms<R: Runtime>(clock: &Clock<R>) -> u64 {
    clock.now() / MICROS_PER_MS
}
