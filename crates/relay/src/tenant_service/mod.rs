//! Whose messages they are: the tenants of the settings, or those of a registry that administrators change.

mod audit;
mod store;

use std::cmp::Reverse;
use std::path::Path;

use policy::scheduler::TenantUsage;
use policy::types::{DestinationId, Event, Micros, Settings, TenantId};
use policy::TenantScheduler;
use relay_events::tenants::{
    RegistryReport, TenantRequest, TenantResponse, TenantView, UsageReport,
};
use relay_events::{Clock, DeliveryFailure, Reply};
use runtime::{log, Runtime};
use tenancy::registry::{
    Actor, Change, ChangeRecord, Command, Decision, Precondition, RegistryError, Session, State,
    TenantEntry,
};
use tenancy::spec::TenantSpec;
use tenancy::{FairQueueScheduler, Registry};

use crate::host_directory::index_of;
use crate::operator_config;
use audit::Audit;
use store::{Opened, Store};

/// Changes that the audit log lacks at most; past that no further change is made.
const MOST_UNTOLD: usize = 100;
/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1000;
/// What could not be kept is tried again after this, in milliseconds.
const RETRY_MS: u64 = 1000;
/// Weight of a whole share in the settings, where shares are fractions.
const WHOLE: f64 = 1000.0;

/// The tenants of a relay.
pub enum Tenants<R: Runtime> {
    /// Those of the settings, by index.
    Fixed(Vec<String>),
    /// Those of a registry.
    Hosted(Box<Hosted<R>>),
}

/// Tenants that administrators change.
pub struct Hosted<R: Runtime> {
    runtime: R,
    clock: Clock<R>,
    registry: Registry,
    store: Store<R>,
    audit: Audit<R>,
    /// Clients have to name themselves.
    auth: bool,
    since_ms: u64,
    /// What could not be kept by itself is tried again then.
    retry_ms: u64,
}

/// The relay's clock in milliseconds of Unix time. Spans are counted with it, so it is not the wall clock.
fn unix_ms<R: Runtime>(clock: &Clock<R>) -> u64 {
    clock.now() / MICROS_PER_MS
}

impl<R: Runtime> Tenants<R> {
    /// The tenants of the settings, or with the operator's word those of a registry.
    pub fn open(
        runtime: &R,
        clock: &Clock<R>,
        operator: Option<&operator_config::Tenants>,
        names: &[String],
        classes: &[String],
        settings: &Settings,
    ) -> Result<Self, String> {
        match operator {
            None => Ok(Tenants::Fixed(names.to_vec())),
            Some(operator) => {
                let shares = settings.tenants.iter().map(|tenant| tenant.share);
                let known = names.iter().cloned().zip(shares).collect();
                Hosted::open(runtime, clock, operator, known, classes)
                    .map(|h| Tenants::Hosted(Box::new(h)))
            }
        }
    }

    /// The classes of the settings from now on.
    pub fn set_classes(&mut self, classes: &[String]) {
        if let Tenants::Hosted(hosted) = self {
            hosted.registry.set_known_classes(classes);
        }
    }

    /// Who shares the relay with whom, and what the module is told first.
    pub fn scheduler(&self, settings: &Settings) -> (Box<dyn TenantScheduler>, Vec<Event>) {
        match self {
            Tenants::Fixed(_) => (
                Box::new(FairQueueScheduler::from_settings(settings)),
                Vec::new(),
            ),
            Tenants::Hosted(hosted) => {
                let told = |entry: &TenantEntry| {
                    Event::TenantChanged(entry.number, Some(entry.tenant.terms()))
                };
                let events = hosted.registry.entries().map(told).collect();
                (
                    Box::new(FairQueueScheduler::new(settings.max_calls)),
                    events,
                )
            }
        }
    }

    /// What tenants have used of their rates, for a process that takes over: by the journal's name for them, those
    /// that are furthest from having it made good first.
    pub fn used_rates(&self, now: Micros, sharing: &dyn TenantScheduler) -> Vec<(String, Micros)> {
        let Tenants::Hosted(hosted) = self else {
            return Vec::new();
        };
        let until = |entry: &TenantEntry| {
            (
                entry.tenant.reference(),
                sharing.rate_used_until(entry.number),
            )
        };
        let mut used: Vec<_> = hosted
            .registry
            .entries()
            .map(until)
            .filter(|(_, until)| *until > now)
            .collect();
        used.sort_by_key(|(_, until)| Reverse(*until));
        used
    }

    /// Goes on from what another process knew of that.
    pub fn restore_used_rates(
        &mut self,
        used: &[(String, Micros)],
        sharing: &mut dyn TenantScheduler,
    ) {
        for (reference, until) in used {
            if let Some(entry) = self.entry(reference) {
                sharing.restore_rate_used_until(entry.number, *until);
            }
        }
    }

    /// Whether a client may speak for a tenant, as whom it has named itself.
    pub fn check_login(&mut self, name: &str, login: Option<&Session>) -> Result<(), Reply> {
        let Tenants::Hosted(hosted) = self else {
            return Ok(());
        };
        if !hosted.auth {
            return Ok(());
        }
        let login = login
            .filter(|login| hosted.registry.is_session_valid(login))
            .ok_or(Reply::NoAuth)?;
        if login.tenant == name {
            return Ok(());
        }
        hosted.rejected(&login.tenant);
        Err(Reply::Error("the message is for another tenant".into()))
    }

    /// The number of the tenant that a message is to be taken on for, and the journal's name for it.
    pub fn admit(
        &mut self,
        name: &str,
        class: &str,
        destination: DestinationId,
    ) -> Result<(TenantId, String), Reply> {
        let error = |why: &str| Reply::Error(why.into());
        let needs_one = !matches!(self, Tenants::Fixed(names) if names.is_empty());
        if name.is_empty() && needs_one {
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
                    .map_err(|why| error(&why.to_string()))?;
                entry.unacknowledged += 1;
                Ok((entry.number, entry.tenant.reference()))
            }
        }
    }

    /// The number of the tenant of a message that was taken on before a restart.
    pub fn message_restored(&mut self, reference: &str) -> Option<TenantId> {
        match self {
            // One that the settings name no more has no share to keep, and is owed its end all the same.
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

    fn entry(&mut self, reference: &str) -> Option<&mut TenantEntry> {
        match self {
            Tenants::Fixed(_) => None,
            Tenants::Hosted(hosted) => hosted.registry.entry_by_reference(reference),
        }
    }

    /// A message was not taken on.
    pub fn message_rejected(&mut self, reference: &str) {
        if let Some(entry) = self.entry(reference) {
            entry.counts.refused += 1;
            entry.unacknowledged = entry.unacknowledged.saturating_sub(1);
        }
    }

    /// A message was taken on.
    pub fn message_accepted(&mut self, reference: &str) {
        self.entry(reference)
            .into_iter()
            .for_each(|entry| entry.counts.accepted += 1);
    }

    /// A message was delivered.
    pub fn message_delivered(&mut self, reference: &str) {
        self.entry(reference)
            .into_iter()
            .for_each(|entry| entry.counts.delivered += 1);
    }

    /// A message was given up.
    pub fn message_failed(&mut self, reference: &str, verdict: DeliveryFailure) {
        let Some(entry) = self.entry(reference) else {
            return;
        };
        match verdict {
            DeliveryFailure::Undeliverable => entry.counts.failed += 1,
            DeliveryFailure::Deferred(_) => entry.counts.refused += 1,
        }
    }

    /// Whether a tenant is removed, or about to be.
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

    /// Whether messages of a tenant may be sent.
    pub fn is_known(&mut self, reference: &str) -> bool {
        match self {
            Tenants::Fixed(names) => names.is_empty() || names.iter().any(|name| name == reference),
            Tenants::Hosted(hosted) => hosted
                .registry
                .entry_by_reference(reference)
                .is_some_and(|entry| entry.tenant.state == State::Active),
        }
    }

    /// Nothing more is owed for a message.
    pub fn message_released(&mut self, reference: &str) {
        if let Some(entry) = self.entry(reference) {
            entry.unacknowledged = entry.unacknowledged.saturating_sub(1);
        }
    }

    /// Whom a client is taken for.
    pub fn login(&self, name: &str, secret: &[u8]) -> Option<Session> {
        match self {
            Tenants::Fixed(_) => None,
            Tenants::Hosted(hosted) => hosted.registry.authenticate(name, secret),
        }
    }

    /// Whether clients have to name themselves.
    pub fn requires_login(&self) -> bool {
        matches!(self, Tenants::Hosted(hosted) if hosted.auth)
    }

    /// Answers a front; what the module is to be told of it goes to `events`. Nothing is changed while there is
    /// no `room` on the disk but for the ends of messages.
    pub fn handle_request(
        &mut self,
        ask: TenantRequest,
        load: impl Fn(TenantId) -> TenantUsage,
        events: &mut Vec<Event>,
        room: bool,
    ) -> TenantResponse {
        match self {
            Tenants::Fixed(_) => {
                TenantResponse::NotPersisted("the tenants are those of the settings".into())
            }
            Tenants::Hosted(_) if !room && matches!(ask, TenantRequest::Change(_)) => {
                TenantResponse::NotPersisted(
                    "the disk is full, what room there is is for the ends of messages".into(),
                )
            }
            Tenants::Hosted(hosted) => hosted.handle_request(ask, load, events),
        }
    }

    /// What is to be done between rounds, if there is `room` on the disk; true if there is more of it.
    pub fn run_maintenance(&mut self, events: &mut Vec<Event>, room: bool) -> bool {
        match self {
            Tenants::Hosted(hosted) if room => hosted.run_maintenance(events),
            _ => false,
        }
    }
}

impl<R: Runtime> Hosted<R> {
    /// Opens the registry. A new one begins with the tenants of the settings, if the operator says so.
    fn open(
        runtime: &R,
        clock: &Clock<R>,
        operator: &operator_config::Tenants,
        known: Vec<(String, f64)>,
        classes: &[String],
    ) -> Result<Self, String> {
        let folder = Path::new(&operator.folder);
        let Opened {
            mut store,
            mut registry,
            changes,
            fresh,
        } = Store::open(runtime, folder, operator.store_bytes(), classes)?;
        let audit = Audit::open(runtime, folder, operator.audit(), &changes)?;
        // Guards against an end that both files have lost, which they can't tell: the audit log was told of it.
        let lost = registry.skip_to_sequence(audit.last_written());
        if lost > 0 {
            log!(
                *runtime,
                "tenants: the last {lost} changes are lost, the audit log has them"
            );
            store.lost += lost;
        }
        let (runtime, since_ms) = (runtime.clone(), unix_ms(clock));
        let mut hosted = Hosted {
            runtime,
            clock: clock.clone(),
            registry,
            store,
            audit,
            auth: operator.auth,
            since_ms,
            retry_ms: 0,
        };
        if fresh && operator.import {
            for (name, share) in known {
                let weight =
                    (share * WHOLE).clamp(1.0, f64::from(tenancy::spec::MAX_WEIGHT)) as u32;
                let command = Command {
                    actor: Actor {
                        name: "configuration".into(),
                        role: "relay".into(),
                    },
                    request: String::new(),
                    key: None,
                    name: name.clone(),
                    precondition: Precondition::Any,
                    change: Change::Create(TenantSpec {
                        weight,
                        ..TenantSpec::default()
                    }),
                };
                if let TenantResponse::Refused(why) = hosted.change(command, &mut Vec::new()) {
                    return Err(format!(
                        "the tenant {name:?} of the settings can't be hosted: {why}"
                    ));
                }
            }
        }
        Ok(hosted)
    }

    fn rejected(&mut self, name: &str) {
        if let Ok(entry) = self.registry.find(name) {
            let reference = entry.tenant.reference();
            self.registry
                .entry_by_reference(&reference)
                .into_iter()
                .for_each(|entry| entry.counts.rejected += 1);
        }
    }

    fn shown(&self, tenant: tenancy::registry::Tenant) -> Box<TenantView> {
        let draining = self
            .registry
            .draining_entries(&tenant.name)
            .iter()
            .map(|entry| entry.tenant.version);
        let draining = draining
            .filter(|version| version.generation != tenant.version.generation)
            .collect();
        Box::new(TenantView { tenant, draining })
    }

    fn handle_request(
        &mut self,
        ask: TenantRequest,
        load: impl Fn(TenantId) -> TenantUsage,
        events: &mut Vec<Event>,
    ) -> TenantResponse {
        match ask {
            TenantRequest::Change(command) => self.change(*command, events),
            TenantRequest::Find(name) => match self.registry.find(&name) {
                Ok(entry) => TenantResponse::Found(self.shown(entry.tenant.clone())),
                Err(why) => TenantResponse::Refused(why),
            },
            TenantRequest::Page { after, most, scope } => {
                let page = self.registry.newest_entries_after(after.as_deref());
                let mut page = page.filter(|entry| scope.covers(&entry.tenant.name));
                let tenants = page
                    .by_ref()
                    .take(most)
                    .map(|entry| *self.shown(entry.tenant.clone()))
                    .collect();
                TenantResponse::Page(tenants, page.next().is_some())
            }
            TenantRequest::UsageReport(name) => match self.registry.find(&name) {
                Ok(entry) => {
                    let drains = self.registry.draining_entries(&name).iter();
                    let drains = drains.filter(|other| other.number != entry.number);
                    let all = std::iter::once(entry).chain(drains);
                    TenantResponse::UsageReport(
                        all.map(|entry| usage(entry, load(entry.number))).collect(),
                        self.since_ms,
                    )
                }
                Err(why) => TenantResponse::Refused(why),
            },
            TenantRequest::Audit {
                before,
                most,
                scope,
                tenant,
            } => {
                let entries = self
                    .audit
                    .newest(before)
                    .filter(|entry| scope.covers(&entry.tenant));
                let mut entries = entries
                    .filter(|entry| tenant.as_ref().is_none_or(|name| entry.tenant == *name));
                let page = entries.by_ref().take(most).cloned().collect();
                TenantResponse::Audit(page, entries.next().is_some())
            }
            TenantRequest::RegistryReport => TenantResponse::RegistryReport(RegistryReport {
                tenants: self.registry.len(),
                seq: self.registry.last_sequence(),
                lost_changes: self.store.lost,
                unlogged_changes: self.audit.unwritten(),
                since_ms: self.since_ms,
            }),
        }
    }

    fn change(&mut self, command: Command, events: &mut Vec<Event>) -> TenantResponse {
        let decision = match self.registry.decide(unix_ms(&self.clock), &command) {
            Ok(decision) => decision,
            Err(why) => return TenantResponse::Refused(why),
        };
        match decision {
            Decision::Unchanged(tenant) => TenantResponse::Unchanged(self.shown(*tenant)),
            Decision::Replay(answered) => {
                let shown = self.shown(answered.tenant);
                TenantResponse::Changed {
                    view: shown,
                    action: answered.action,
                    is_replay: true,
                }
            }
            Decision::Commit(record) => {
                if let Err(why) = self.make(&record, events) {
                    return TenantResponse::NotPersisted(why);
                }
                match record.to {
                    Some(tenant) => TenantResponse::Changed {
                        view: self.shown(tenant),
                        action: record.action,
                        is_replay: false,
                    },
                    None => TenantResponse::Refused(RegistryError::Gone(command.name)),
                }
            }
        }
    }

    /// Keeps a change, makes it, and tells the module and the audit log.
    fn make(&mut self, record: &ChangeRecord, events: &mut Vec<Event>) -> Result<(), String> {
        if self.audit.unwritten() >= MOST_UNTOLD {
            self.audit.flush();
            if self.audit.unwritten() >= MOST_UNTOLD {
                return Err("the audit log cannot be written".into());
            }
        }
        self.store
            .append(record)
            .map_err(|e| format!("the registry cannot be written: {e}"))?;
        let update = self.registry.commit(record);
        events.extend(update.map(|update| Event::TenantChanged(update.number, update.terms)));
        self.audit.append(record);
        Ok(())
    }

    fn run_maintenance(&mut self, events: &mut Vec<Event>) -> bool {
        let now = unix_ms(&self.clock);
        if let Some(record) = self
            .registry
            .next_drained(now)
            .filter(|_| self.retry_ms <= now)
        {
            if let Err(why) = self.make(&record, events) {
                log!(
                    self.runtime,
                    "tenants: one that has drained stays for now: {why}"
                );
                self.retry_ms = now + RETRY_MS;
            }
        }
        // The files hold what the audit log lacks until it has it.
        if self.audit.unwritten() > 0 {
            self.audit.flush();
        }
        if self.audit.unwritten() == 0 {
            self.store.continue_rewrite(&self.registry);
        }
        self.store.is_busy()
    }
}

fn usage(entry: &TenantEntry, load: TenantUsage) -> UsageReport {
    UsageReport {
        name: entry.tenant.name.clone(),
        version: entry.tenant.version,
        counts: entry.counts,
        queued: load.queued,
        in_flight: load.in_flight,
        unacknowledged: entry.unacknowledged,
    }
}
