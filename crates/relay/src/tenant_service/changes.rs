//! Changes of tenants: each is written to the replicas before it is answered, and after that to the audit log.

use policy::types::Event;
use relay_events::tenants::TenantResponse;
use runtime::Runtime;
use tenancy::registry::{
    Actor, Change, ChangeRecord, Command, Decision, Precondition, RegistryError,
};
use tenancy::spec::{TenantSpec, MAX_WEIGHT};

use super::error::{ChangeError, TenantsError};
use super::hosted::{ConfiguredTenant, HostedTenants};

/// Weight of an imported tenant whose share in the settings is the whole capacity.
const WEIGHT_OF_FULL_SHARE: f64 = 1000.0;
/// Actor of the import in the audit log.
const IMPORT_ACTOR: &str = "configuration";
/// Role of the import's actor in the audit log.
const IMPORT_ROLE: &str = "relay";

impl<R: Runtime> HostedTenants<R> {
    /// Creates the tenants of the settings.
    ///
    /// # Errors
    /// [`TenantsError::ImportRefused`] if the registry refuses one of them.
    pub(super) fn import(&mut self, configured: Vec<ConfiguredTenant>) -> Result<(), TenantsError> {
        for ConfiguredTenant { name, share } in configured {
            let command = import_command(&name, share);
            // These events are discarded: the policy receives all tenants from `Tenants::scheduler` later.
            let mut events = Vec::new();
            if let TenantResponse::Refused(reason) = self.change(command, &mut events) {
                return Err(TenantsError::ImportRefused { name, reason });
            }
        }
        Ok(())
    }

    /// Checks a command and makes the requested change. The events for the policy are added to `events`.
    pub(super) fn change(&mut self, command: Command, events: &mut Vec<Event>) -> TenantResponse {
        let decision = match self.registry.decide(self.now_ms(), &command) {
            Ok(decision) => decision,
            Err(reason) => return TenantResponse::Refused(reason),
        };
        match decision {
            Decision::Unchanged(tenant) => TenantResponse::Unchanged(self.view(*tenant)),
            Decision::Replay(response) => TenantResponse::Changed {
                view: self.view(response.tenant),
                action: response.action,
                is_replay: true,
            },
            Decision::Commit(record) => {
                if let Err(error) = self.commit(&record, events) {
                    return TenantResponse::NotPersisted(error.to_string());
                }
                match record.to {
                    Some(tenant) => TenantResponse::Changed {
                        view: self.view(tenant),
                        action: record.action,
                        is_replay: false,
                    },
                    None => TenantResponse::Refused(RegistryError::Gone(command.name)),
                }
            }
        }
    }

    /// Writes a change to the replicas, applies it, and adds it to the policy's events and the audit log.
    ///
    /// # Errors
    /// [`ChangeError`] if the change could not be written; in that case nothing is changed.
    pub(super) fn commit(
        &mut self,
        record: &ChangeRecord,
        events: &mut Vec<Event>,
    ) -> Result<(), ChangeError> {
        if self.audit_log.is_backlog_full() {
            self.audit_log.flush();
            if self.audit_log.is_backlog_full() {
                return Err(ChangeError::AuditLogUnavailable);
            }
        }
        self.store
            .append(record)
            .map_err(ChangeError::ReplicaUnavailable)?;
        let update = self.registry.commit(record);
        events.extend(update.map(|update| Event::TenantChanged(update.number, update.terms)));
        self.audit_log.append(record);
        Ok(())
    }
}

fn import_command(name: &str, share: f64) -> Command {
    let max_weight = f64::from(MAX_WEIGHT);
    let weight = (share * WEIGHT_OF_FULL_SHARE).clamp(1.0, max_weight) as u32;
    Command {
        actor: Actor {
            name: IMPORT_ACTOR.into(),
            role: IMPORT_ROLE.into(),
        },
        request: String::new(),
        key: None,
        name: name.into(),
        precondition: Precondition::Any,
        change: Change::Create(TenantSpec {
            weight,
            ..TenantSpec::default()
        }),
    }
}
