//! The tenants of the relay: either those of the settings, or those of a registry that administrators can change.

mod audit_log;
mod changes;
mod error;
mod hosted;
mod maintenance;
mod replica;
mod replica_rewrite;
mod replica_store;
mod requests;

use std::cmp::Reverse;

use policy::scheduler::TenantUsage;
use policy::types::{DestinationId, Event, Micros, Settings, TenantId};
use policy::TenantScheduler;
use relay_events::tenants::{TenantRequest, TenantResponse};
use relay_events::{Clock, DeliveryFailure, Reply};
use runtime::Runtime;
use tenancy::registry::{Session, State, TenantEntry};
use tenancy::FairQueueScheduler;

use crate::host_directory::index_of;
use crate::operator_config;
pub use error::TenantsError;
use hosted::{ConfiguredTenant, HostedTenants};

/// The tenants of a relay.
pub enum Tenants<R: Runtime> {
    /// The names of the tenants of the settings; a tenant's number is its index. Without names, all messages belong to
    /// tenant 0.
    Fixed(Vec<String>),
    /// The tenants of a registry.
    Hosted(Box<HostedTenants<R>>),
}

/// Whether the disk has space for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskSpace {
    /// Changes may be written.
    Available,
    /// The disk is full. The journal's reserve may be used only to record the ends of messages.
    ReserveOnly,
}

impl<R: Runtime> Tenants<R> {
    /// Opens the tenants of the registry that the operator file names; without one, the tenants are those of the settings.
    ///
    /// # Errors
    /// [`TenantsError`] if the registry or the audit log cannot be used.
    pub fn open(
        runtime: &R,
        clock: &Clock<R>,
        operator: Option<&operator_config::Tenants>,
        names: &[String],
        classes: &[String],
        settings: &Settings,
    ) -> Result<Self, TenantsError> {
        let Some(operator) = operator else {
            return Ok(Tenants::Fixed(names.to_vec()));
        };
        let configured = names
            .iter()
            .zip(&settings.tenants)
            .map(|(name, tenant)| ConfiguredTenant {
                name: name.clone(),
                share: tenant.share,
            })
            .collect();
        let hosted = HostedTenants::open(runtime, clock, operator, configured, classes)?;
        Ok(Tenants::Hosted(Box::new(hosted)))
    }

    /// Sets the classes that tenants may be limited to, after a reload of the settings.
    pub fn set_classes(&mut self, classes: &[String]) {
        if let Tenants::Hosted(hosted) = self {
            hosted.registry.set_known_classes(classes);
        }
    }

    /// Creates the scheduler of these tenants. Returns it with the events that announce the tenants to the policy.
    pub fn scheduler(&self, settings: &Settings) -> (Box<dyn TenantScheduler>, Vec<Event>) {
        match self {
            Tenants::Fixed(_) => (
                Box::new(FairQueueScheduler::from_settings(settings)),
                Vec::new(),
            ),
            Tenants::Hosted(hosted) => {
                let announcement = |entry: &TenantEntry| {
                    Event::TenantChanged(entry.number, Some(entry.tenant.terms()))
                };
                let events = hosted.registry.entries().map(announcement).collect();
                (
                    Box::new(FairQueueScheduler::new(settings.max_calls)),
                    events,
                )
            }
        }
    }

    /// The times at which the tenants' rate limiters are full again, for a process that takes over. They are listed by
    /// the tenant's reference in the journal, latest time first. Tenants whose limiter is full are left out.
    pub fn used_rates(
        &self,
        now: Micros,
        scheduler: &dyn TenantScheduler,
    ) -> Vec<(String, Micros)> {
        let Tenants::Hosted(hosted) = self else {
            return Vec::new();
        };
        let used_until = |entry: &TenantEntry| {
            let until = scheduler.rate_used_until(entry.number);
            (entry.tenant.reference(), until)
        };
        let mut used: Vec<_> = hosted
            .registry
            .entries()
            .map(used_until)
            .filter(|(_, until)| *until > now)
            .collect();
        used.sort_by_key(|(_, until)| Reverse(*until));
        used
    }

    /// Restores the state of rate limiters that an earlier process handed over; see [`Tenants::used_rates`].
    pub fn restore_used_rates(
        &mut self,
        used: &[(String, Micros)],
        scheduler: &mut dyn TenantScheduler,
    ) {
        for (reference, until) in used {
            if let Some(entry) = self.entry(reference) {
                scheduler.restore_rate_used_until(entry.number, *until);
            }
        }
    }

    /// Checks that a client with this session may submit messages of the named tenant.
    ///
    /// # Errors
    /// The reply for the client if it is not authenticated, or authenticated as another tenant.
    pub fn check_login(&mut self, name: &str, login: Option<&Session>) -> Result<(), Reply> {
        let Tenants::Hosted(hosted) = self else {
            return Ok(());
        };
        if !hosted.requires_login {
            return Ok(());
        }
        let login = login
            .filter(|login| hosted.registry.is_session_valid(login))
            .ok_or(Reply::NoAuth)?;
        if login.tenant == name {
            return Ok(());
        }
        hosted.count_rejected(&login.tenant);
        Err(Reply::Error("the message is for another tenant".into()))
    }

    /// Admits a message of the named tenant. Returns the tenant's number, and its reference for the journal.
    ///
    /// # Errors
    /// The reply for the client if the tenant is missing, unknown, or may not submit such a message.
    pub fn admit(
        &mut self,
        name: &str,
        class: &str,
        destination: DestinationId,
    ) -> Result<(TenantId, String), Reply> {
        let error = |why: &str| Reply::Error(why.into());
        let needs_tenant = !matches!(self, Tenants::Fixed(names) if names.is_empty());
        if name.is_empty() && needs_tenant {
            return Err(error("the list lacks t"));
        }
        match self {
            Tenants::Fixed(names) => {
                let number = index_of(names, name).or(names.is_empty().then_some(0));
                number
                    .map(|number| (number, name.into()))
                    .ok_or_else(|| error("unknown tenant"))
            }
            Tenants::Hosted(hosted) => {
                let entry = hosted
                    .registry
                    .check_admission(name, class, destination)
                    .map_err(|refusal| error(&refusal.to_string()))?;
                entry.unacknowledged += 1;
                Ok((entry.number, entry.tenant.reference()))
            }
        }
    }

    /// Counts a message that was accepted before a restart. Returns the number of its tenant; none if a hosted tenant
    /// is unknown.
    pub fn message_restored(&mut self, reference: &str) -> Option<TenantId> {
        match self {
            // A tenant that was removed from the settings has no share, but its messages still have to be finished.
            Tenants::Fixed(names) => {
                index_of(names, reference).or_else(|| names.len().try_into().ok())
            }
            Tenants::Hosted(hosted) => {
                let entry = hosted.registry.entry_by_reference(reference)?;
                entry.unacknowledged += 1;
                Some(entry.number)
            }
        }
    }

    /// The entry of a hosted tenant, by its reference in the journal.
    fn entry(&mut self, reference: &str) -> Option<&mut TenantEntry> {
        match self {
            Tenants::Fixed(_) => None,
            Tenants::Hosted(hosted) => hosted.registry.entry_by_reference(reference),
        }
    }

    /// Counts a message that was admitted but then refused.
    pub fn message_rejected(&mut self, reference: &str) {
        if let Some(entry) = self.entry(reference) {
            entry.counts.refused += 1;
            entry.unacknowledged = entry.unacknowledged.saturating_sub(1);
        }
    }

    /// Counts a message that was accepted.
    pub fn message_accepted(&mut self, reference: &str) {
        if let Some(entry) = self.entry(reference) {
            entry.counts.accepted += 1;
        }
    }

    /// Counts a message that was delivered.
    pub fn message_delivered(&mut self, reference: &str) {
        if let Some(entry) = self.entry(reference) {
            entry.counts.delivered += 1;
        }
    }

    /// Counts a message that was not delivered: as failed, or as refused if it was deferred.
    pub fn message_failed(&mut self, reference: &str, failure: DeliveryFailure) {
        let Some(entry) = self.entry(reference) else {
            return;
        };
        match failure {
            DeliveryFailure::Undeliverable => entry.counts.failed += 1,
            DeliveryFailure::Deferred(_) => entry.counts.refused += 1,
        }
    }

    /// Whether a tenant was removed, or is draining before its removal.
    pub fn is_removed(&mut self, reference: &str) -> bool {
        match self {
            Tenants::Fixed(names) => {
                !names.is_empty() && !names.iter().any(|name| name == reference)
            }
            Tenants::Hosted(hosted) => {
                let entry = hosted.registry.entry_by_reference(reference);
                entry.is_none_or(|entry| entry.tenant.state == State::Draining)
            }
        }
    }

    /// Whether messages of a tenant may be resent: the tenant exists, and a hosted one is active.
    pub fn is_resend_allowed(&mut self, reference: &str) -> bool {
        match self {
            Tenants::Fixed(names) => names.is_empty() || names.iter().any(|name| name == reference),
            Tenants::Hosted(hosted) => hosted
                .registry
                .entry_by_reference(reference)
                .is_some_and(|entry| entry.tenant.state == State::Active),
        }
    }

    /// Counts a message as finished, so that it may be removed from the journal.
    pub fn message_released(&mut self, reference: &str) {
        if let Some(entry) = self.entry(reference) {
            entry.unacknowledged = entry.unacknowledged.saturating_sub(1);
        }
    }

    /// Authenticates a client. Returns none if the name or the secret is wrong, or if tenants have no secrets.
    pub fn login(&self, name: &str, secret: &[u8]) -> Option<Session> {
        match self {
            Tenants::Fixed(_) => None,
            Tenants::Hosted(hosted) => hosted.registry.authenticate(name, secret),
        }
    }

    /// Whether clients have to authenticate.
    pub fn requires_login(&self) -> bool {
        matches!(self, Tenants::Hosted(hosted) if hosted.requires_login)
    }

    /// Answers a request of a front end. The events for the policy are added to `events`; `load` returns a tenant's
    /// current load. Without disk space no change is made.
    pub fn handle_request(
        &mut self,
        request: TenantRequest,
        load: impl Fn(TenantId) -> TenantUsage,
        events: &mut Vec<Event>,
        disk_space: DiskSpace,
    ) -> TenantResponse {
        let is_change = matches!(request, TenantRequest::Change(_));
        match self {
            Tenants::Fixed(_) => {
                TenantResponse::NotPersisted("the tenants are those of the settings".into())
            }
            Tenants::Hosted(_) if is_change && disk_space == DiskSpace::ReserveOnly => {
                TenantResponse::NotPersisted(
                    "the disk is full, what room there is is for the ends of messages".into(),
                )
            }
            Tenants::Hosted(hosted) => hosted.handle_request(request, load, events),
        }
    }

    /// Runs one step of the maintenance, which writes to disk. Returns whether further steps are due.
    pub fn run_maintenance(&mut self, events: &mut Vec<Event>) -> bool {
        match self {
            Tenants::Fixed(_) => false,
            Tenants::Hosted(hosted) => hosted.run_maintenance(events),
        }
    }
}
