//! The registry of tenants, and the changes that administrators make to it.
//!
//! A change is made in three steps: [`Registry::decide`] checks a command against the state and returns a record,
//! the caller persists the record, and [`Registry::commit`] applies it. A change whose response was sent therefore
//! survives a crash, and any other change is applied whole or not at all.

mod change;
mod command;
mod decision;
mod error;
mod generations;
mod idempotency;
mod numbering;
mod session;
mod tenant;
mod tombstones;
mod version;

use std::collections::{BTreeMap, BTreeSet};

use policy::types::{DestinationId, TenantId, TenantTerms};

use crate::secret::Digest;
use crate::spec::{check_name, AdmissionError, TenantSpec, MAX_NAME_CHARS};

use generations::Generations;
use idempotency::IdempotencyCache;
use numbering::TenantNumbers;
use tombstones::Tombstones;

pub use command::{Action, Actor, Change, ChangeRecord, Command};
pub use decision::Decision;
pub use error::RegistryError;
pub use idempotency::{IdempotentResponse, IDEMPOTENCY_KEY_TTL_MS, MAX_IDEMPOTENCY_KEYS};
pub use session::Session;
pub use tenant::{tenant_name, Secret, State, Tenant, TenantCounters, TenantEntry};
pub use tombstones::MAX_TOMBSTONES;
pub use version::{Precondition, Version};

/// Maximum tenants, including draining ones.
pub const MAX_TENANTS: usize = 16_384;
/// Maximum draining tenants of one name.
pub const MAX_DRAINING_GENERATIONS: usize = 4;

/// The complete content of a registry, for a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Sequence number of the last change.
    pub seq: u64,
    /// All tenants.
    pub tenants: Vec<Tenant>,
    /// Tombstones: names and last generations of removed tenants, oldest first.
    pub gone: Vec<(String, u32)>,
    /// Cached responses to commands with an idempotency key, oldest first.
    pub idempotent_responses: Vec<IdempotentResponse>,
}

/// New terms of a tenant, for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TermsUpdate {
    /// The tenant's number in the decision module.
    pub number: TenantId,
    /// The tenant's new terms; none once it is gone.
    pub terms: Option<TenantTerms>,
}

/// All tenants of a relay.
#[derive(Default)]
pub struct Registry {
    known_classes: Vec<String>,
    /// Tenants by name.
    tenants: BTreeMap<String, Generations>,
    /// Names and generations of draining tenants.
    draining: BTreeSet<(String, u32)>,
    tombstones: Tombstones,
    idempotency: IdempotencyCache,
    numbers: TenantNumbers,
    /// Sequence number of the last change.
    seq: u64,
}

impl Registry {
    /// Creates a registry without tenants, for a relay with these classes.
    #[must_use]
    pub fn new(classes: Vec<String>) -> Self {
        Registry {
            known_classes: classes,
            ..Registry::default()
        }
    }

    /// Restores a registry from a persisted state. Tenants beyond [`MAX_TENANTS`] are discarded.
    #[must_use]
    pub fn restore(classes: Vec<String>, state: PersistedState) -> Self {
        let mut registry = Registry {
            known_classes: classes,
            seq: state.seq,
            idempotency: IdempotencyCache::restore(state.idempotent_responses),
            ..Registry::default()
        };
        let mut tenants = state.tenants;
        tenants.sort_by_key(|tenant| tenant.version.generation);
        for tenant in tenants.into_iter().take(MAX_TENANTS) {
            registry.upsert(tenant);
        }
        for (name, generation) in state.gone {
            registry.tombstones.insert(name, generation);
        }
        registry
    }

    /// Sets the classes that later changes may name. Existing specifications that name other classes do not change.
    pub fn set_known_classes(&mut self, classes: &[String]) {
        self.known_classes = classes.to_vec();
    }

    /// The complete content of the registry.
    #[must_use]
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState {
            seq: self.seq,
            tenants: self.entries().map(|entry| entry.tenant.clone()).collect(),
            gone: self
                .tombstones()
                .map(|(name, generation)| (name.clone(), generation))
                .collect(),
            idempotent_responses: self.idempotent_responses().cloned().collect(),
        }
    }

    /// Names of tenants that are gone, with the last generation of each, oldest first.
    pub fn tombstones(&self) -> impl Iterator<Item = (&String, u32)> {
        self.tombstones.iter()
    }

    /// Cached responses to commands with an idempotency key, oldest first.
    pub fn idempotent_responses(&self) -> impl Iterator<Item = &IdempotentResponse> {
        self.idempotency.iter()
    }

    /// Sequence number of the last change.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.seq
    }

    /// Makes the next change follow this sequence number, which was found in another source. Returns the number of
    /// changes up to it that are missing here.
    pub fn skip_to_sequence(&mut self, seq: u64) -> u64 {
        let unknown = seq.saturating_sub(self.seq);
        self.seq += unknown;
        unknown
    }

    /// Number of tenants, including draining ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.numbers.assigned()
    }

    /// Whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All tenants, ordered by name and generation.
    pub fn entries(&self) -> impl Iterator<Item = &TenantEntry> {
        self.tenants.values().flat_map(Generations::all)
    }

    /// The tenants of all names after this one, ordered by name and generation. Without a name, all tenants.
    pub fn entries_after<'a>(
        &'a self,
        name: Option<&str>,
    ) -> impl Iterator<Item = &'a TenantEntry> {
        self.names_after(name).flat_map(Generations::all)
    }

    /// The newest tenant of each name after this one, ordered by name. Without a name, that of all names.
    pub fn newest_entries_after<'a>(
        &'a self,
        after: Option<&str>,
    ) -> impl Iterator<Item = &'a TenantEntry> {
        self.names_after(after).filter_map(Generations::newest)
    }

    fn names_after<'a>(&'a self, after: Option<&str>) -> impl Iterator<Item = &'a Generations> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        self.tenants
            .range::<str, _>((from, Unbounded))
            .map(|(_, generations)| generations)
    }

    /// The newest tenant of a name. A name is gone once its newest tenant has drained, even if an older generation is
    /// still draining.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Gone`] if the tenant was removed, [`RegistryError::Unknown`] if there is none.
    pub fn find(&self, name: &str) -> Result<&TenantEntry, RegistryError> {
        let tombstone = self.tombstones.generation(name);
        let newest = self.tenants.get(name).and_then(Generations::newest);
        newest
            .filter(|entry| entry.generation() > tombstone.unwrap_or(0))
            .ok_or_else(|| match tombstone {
                Some(_) => RegistryError::Gone(name.into()),
                None => RegistryError::Unknown(name.chars().take(MAX_NAME_CHARS).collect()),
            })
    }

    /// The draining tenants of a name, ordered by generation.
    #[must_use]
    pub fn draining_entries(&self, name: &str) -> &[TenantEntry] {
        self.tenants.get(name).map_or(&[], Generations::draining)
    }

    /// The version of a tenant, by its name and generation.
    #[must_use]
    pub fn version(&self, name: &str, generation: u32) -> Option<Version> {
        let mut all = self.tenants.get(name)?.all();
        all.find(|entry| entry.generation() == generation)
            .map(|entry| entry.tenant.version)
    }

    /// The tenant of an accepted message, by its reference in the journal; see [`Tenant::reference`].
    pub fn entry_by_reference(&mut self, reference: &str) -> Option<&mut TenantEntry> {
        let (name, generation) = tenant::parse_reference(reference)?;
        self.tenants.get_mut(name)?.get_mut(generation)
    }

    /// The current tenant of a name, if it may submit a message of this class to this destination.
    ///
    /// # Errors
    ///
    /// [`AdmissionError`] if there is no such tenant, or its specification does not allow the message.
    pub fn check_admission(
        &mut self,
        name: &str,
        class: &str,
        destination: DestinationId,
    ) -> Result<&mut TenantEntry, AdmissionError> {
        let generations = self
            .tenants
            .get_mut(name)
            .ok_or(AdmissionError::UnknownTenant)?;
        let entry = generations
            .current_mut()
            .ok_or(AdmissionError::TenantDraining)?;
        if let Err(error) = entry.tenant.spec.allows(class, destination) {
            entry.counts.rejected += 1;
            return Err(error);
        }
        Ok(entry)
    }

    /// Authenticates a client by a tenant's name and one of its secrets. None if they do not match.
    #[must_use]
    pub fn authenticate(&self, name: &str, secret: &[u8]) -> Option<Session> {
        let digest = Digest::of(secret);
        let tenant = &self.tenants.get(name)?.current()?.tenant;
        let matching = tenant
            .secrets
            .iter()
            .find(|known| known.sha256.constant_time_eq(&digest))?;
        Some(Session {
            tenant: tenant.name.clone(),
            generation: tenant.version.generation,
            secret: matching.id.clone(),
        })
    }

    /// Whether a session may still be used: its tenant is not draining, and its secret was not removed.
    #[must_use]
    pub fn is_session_valid(&self, session: &Session) -> bool {
        let current = self
            .tenants
            .get(&session.tenant)
            .and_then(Generations::current);
        current.is_some_and(|entry| {
            entry.generation() == session.generation
                && entry
                    .tenant
                    .secrets
                    .iter()
                    .any(|known| known.id == session.secret)
        })
    }

    /// Decides on a command against the current state, which does not change.
    ///
    /// # Errors
    ///
    /// [`RegistryError`] if the command is rejected.
    pub fn decide(&self, now_ms: u64, command: &Command) -> Result<Decision, RegistryError> {
        if let Some(response) = self.idempotency.cached_response(now_ms, command)? {
            return Ok(Decision::Replay(Box::new(response.clone())));
        }
        match &command.change {
            Change::Create(spec) => self.decide_creation(now_ms, command, spec),
            _ => self.decide_change(now_ms, command),
        }
    }

    fn decide_change(&self, now_ms: u64, command: &Command) -> Result<Decision, RegistryError> {
        let from = &self.find(&command.name)?.tenant;
        if !command.precondition.is_met_by(from.version) {
            return Err(RegistryError::Stale(from.version));
        }
        let mut to = from.clone();
        let action = change::apply(&command.change, &mut to, &self.known_classes, now_ms)?;
        if to == *from {
            return Ok(Decision::Unchanged(Box::new(to)));
        }
        to.version.revision += 1;
        to.changed_at_ms = now_ms;
        Ok(self.commit_decision(now_ms, command, action, Some(from.clone()), to))
    }

    fn decide_creation(
        &self,
        now_ms: u64,
        command: &Command,
        spec: &TenantSpec,
    ) -> Result<Decision, RegistryError> {
        check_name(&command.name)?;
        spec.check(&self.known_classes)?;
        let generations = self.tenants.get(&command.name);
        self.check_capacity(&command.name, generations)?;
        let newest = generations
            .and_then(Generations::newest)
            .map(TenantEntry::generation);
        let last = newest.max(self.tombstones.generation(&command.name));
        let to = Tenant {
            name: command.name.clone(),
            version: Version {
                generation: last.unwrap_or(0) + 1,
                revision: 1,
            },
            state: State::Active,
            spec: spec.clone(),
            secrets: Vec::new(),
            created_at_ms: now_ms,
            changed_at_ms: now_ms,
        };
        Ok(self.commit_decision(now_ms, command, Action::Created, None, to))
    }

    /// Checks that one more tenant of a name may be created in addition to the existing ones.
    fn check_capacity(
        &self,
        name: &str,
        generations: Option<&Generations>,
    ) -> Result<(), RegistryError> {
        if generations.and_then(Generations::current).is_some() {
            return Err(RegistryError::Exists(name.into()));
        }
        if self.len() >= MAX_TENANTS {
            return Err(RegistryError::TooMany {
                what: "tenants",
                most: MAX_TENANTS,
            });
        }
        if generations.is_some_and(|all| all.draining().len() >= MAX_DRAINING_GENERATIONS) {
            return Err(RegistryError::TooMany {
                what: "tenants of this name that drain",
                most: MAX_DRAINING_GENERATIONS,
            });
        }
        Ok(())
    }

    fn commit_decision(
        &self,
        now_ms: u64,
        command: &Command,
        action: Action,
        from: Option<Tenant>,
        to: Tenant,
    ) -> Decision {
        Decision::Commit(Box::new(ChangeRecord {
            seq: self.seq + 1,
            at_ms: now_ms,
            actor: command.actor.clone(),
            request: command.request.clone(),
            key: command.key.clone(),
            action,
            from,
            to: Some(to),
        }))
    }

    /// The record that removes the first draining tenant without unacknowledged messages; none if there is no such
    /// tenant. The caller persists and commits the record.
    #[must_use]
    pub fn next_drained(&self, now_ms: u64) -> Option<ChangeRecord> {
        let mut draining = self.draining.iter().filter_map(|(name, generation)| {
            self.draining_entries(name)
                .iter()
                .find(|entry| entry.generation() == *generation)
        });
        let drained = draining.find(|entry| entry.unacknowledged == 0)?;
        Some(ChangeRecord {
            seq: self.seq + 1,
            at_ms: now_ms,
            actor: Actor::relay(),
            request: String::new(),
            key: None,
            action: Action::Gone,
            from: Some(drained.tenant.clone()),
            to: None,
        })
    }

    /// Records a change's sequence number and response but not its tenant, for a change that a snapshot already
    /// contains.
    pub fn observe_committed(&mut self, record: &ChangeRecord) {
        self.seq = self.seq.max(record.seq);
        self.idempotency.observe_committed(record);
    }

    /// Applies a persisted record. Returns the terms that must be passed to the decision module.
    pub fn commit(&mut self, record: &ChangeRecord) -> Option<TermsUpdate> {
        self.observe_committed(record);
        match (&record.from, &record.to) {
            (_, Some(to)) => Some(self.upsert(to.clone())),
            (Some(from), None) => self.remove(from),
            (None, None) => None,
        }
    }

    /// Inserts a tenant, replacing an earlier revision if there is one.
    fn upsert(&mut self, tenant: Tenant) -> TermsUpdate {
        let terms = tenant.terms();
        let generation = tenant.version.generation;
        if tenant.state == State::Draining {
            self.draining.insert((tenant.name.clone(), generation));
        }
        let generations = self.tenants.entry(tenant.name.clone()).or_default();
        let entry = match generations.remove(generation) {
            Some(previous) => TenantEntry { tenant, ..previous },
            None => TenantEntry::new(tenant, self.numbers.assign()),
        };
        let number = entry.number;
        generations.insert(entry);
        TermsUpdate {
            number,
            terms: Some(terms),
        }
    }

    /// Removes a tenant that has drained, and adds a tombstone. None if the tenant is unknown.
    fn remove(&mut self, tenant: &Tenant) -> Option<TermsUpdate> {
        let generation = tenant.version.generation;
        let generations = self.tenants.get_mut(&tenant.name)?;
        let number = generations.remove(generation)?.number;
        if generations.newest().is_none() {
            self.tenants.remove(&tenant.name);
        }
        self.draining.remove(&(tenant.name.clone(), generation));
        self.numbers.release(number);
        self.tombstones.insert(tenant.name.clone(), generation);
        Some(TermsUpdate {
            number,
            terms: None,
        })
    }
}
