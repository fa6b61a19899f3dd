//! The tenants there are, and how administrators change them.
//!
//! A change is decided against the state ([`Registry::decide`]), kept by whoever has a disk, and only then
//! made ([`Registry::commit`]): what was answered holds, and what was not answered is there whole or not at all.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::str::FromStr;

use policy::types::{DestinationId, TenantId, TenantState, TenantTerms};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::secret::{Digest, MAX_SECRETS};
use crate::spec::{check_name, AdmissionError, OnRemoval, SpecError, TenantSpec};

/// Tenants at most, those that drain among them.
pub const MAX_TENANTS: usize = 16_384;
/// Tenants of one name that drain at once at most.
pub const MAX_DRAINING_GENERATIONS: usize = 4;
/// Answers that are remembered by their idempotency keys at most; past that the oldest is forgotten.
pub const MAX_IDEMPOTENCY_KEYS: usize = 1000;
/// How long such an answer is remembered, in milliseconds.
pub const IDEMPOTENCY_KEY_TTL_MS: u64 = 24 * 3600 * 1000;
/// Names of tenants that are gone, remembered to say so; past that the oldest is forgotten.
pub const MAX_TOMBSTONES: usize = 1024;

/// Which tenant of a name, and which state of it: the entity tag of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// 1 for the first tenant of its name, one more for each that was made after one was removed.
    pub generation: u32,
    /// 1 when it is made, one more with each change.
    pub revision: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.generation, self.revision)
    }
}

impl FromStr for Version {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let parts = text.split_once('.').and_then(|(generation, revision)| {
            Some(Version {
                generation: generation.parse().ok()?,
                revision: revision.parse().ok()?,
            })
        });
        parts
            .ok_or_else(|| SpecError::new("version", "is not a generation, a point and a revision"))
    }
}

/// Where a tenant stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Its messages are taken on and sent.
    Active,
    /// Nothing is taken on, nothing new is sent; what is held ends when its time is up.
    Paused,
    /// It is removed: nothing is taken on, what is held ends as its specification says, then it is gone.
    Draining,
}

/// What a client of the tenant may name itself with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Secret {
    /// Its name among the tenant's secrets.
    pub id: String,
    /// SHA-256 of the secret, in hexadecimal digits.
    pub sha256: Digest,
    /// When it was added, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Which of its name, and which state of it.
    pub version: Version,
    /// Where it stands.
    pub state: State,
    /// What an administrator set.
    pub spec: TenantSpec,
    /// What its clients may name themselves with.
    pub secrets: Vec<Secret>,
    /// When it was made, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
    /// When it was last changed.
    pub changed_at_ms: u64,
}

impl Tenant {
    /// How the module is to treat it.
    #[must_use]
    pub fn terms(&self) -> TenantTerms {
        let standing = match (self.state, self.spec.on_removal) {
            (State::Active, _) => TenantState::Active,
            (State::Paused, _) => TenantState::Paused,
            (State::Draining, OnRemoval::Finish) => TenantState::Draining,
            (State::Draining, OnRemoval::Refuse) => TenantState::Terminating,
        };
        self.spec.terms(standing)
    }

    /// How the journal names it: its name, and its generation if that is not the first.
    #[must_use]
    pub fn reference(&self) -> String {
        match self.version.generation {
            1 => self.name.clone(),
            generation => format!("{}/{generation}", self.name),
        }
    }
}

/// Who asks for a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Actor {
    /// Name of the token, or `relay` for what the relay does by itself.
    pub name: String,
    /// Its role.
    pub role: String,
}

/// Which state a change is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Whatever state the tenant is in.
    Any,
    /// One of these.
    OneOf(Vec<Version>),
}

/// A change that is asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A new tenant.
    Create(TenantSpec),
    /// Another specification in place of what there is.
    Replace(TenantSpec),
    /// Parts of the specification, as a JSON merge patch (RFC 7396).
    Merge(Value),
    /// Take nothing more on and send nothing new.
    Pause,
    /// The other way round.
    Resume,
    /// Remove it; by its specification or as told here.
    Remove(Option<OnRemoval>),
    /// One more secret.
    AddSecret {
        /// Its name among the tenant's.
        id: String,
        /// Its digest.
        sha256: Digest,
    },
    /// One secret less.
    DropSecret(String),
}

/// What an administrator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Who.
    pub actor: Actor,
    /// A name for the request, for the audit log.
    pub request: String,
    /// A key by which the same request is known again, and a digest of what was asked.
    pub key: Option<(String, Digest)>,
    /// The tenant.
    pub name: String,
    /// Which state of it is meant; not looked at where one is made.
    pub precondition: Precondition,
    /// What is to become of it.
    pub change: Change,
}

/// What kind of change was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Made.
    Created,
    /// Its specification is another.
    Changed,
    /// Paused.
    Paused,
    /// Active again.
    Resumed,
    /// Removed; it drains.
    Removed,
    /// It has drained, and is gone.
    Gone,
    /// It has one more secret.
    SecretAdded,
    /// It has one secret less.
    SecretDropped,
}

/// A change as it is kept: all that it takes to make it again, and to tell who made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Counts all changes of the registry, from 1.
    pub seq: u64,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who.
    pub actor: Actor,
    /// The request's name.
    pub request: String,
    /// The request's key, and the digest of what was asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<(String, Digest)>,
    /// What kind of change.
    pub action: Action,
    /// The tenant before; none where it was made.
    pub from: Option<Tenant>,
    /// The tenant after; none where it is gone.
    pub to: Option<Tenant>,
}

/// An answer that is remembered by its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotentResponse {
    /// Who asked.
    pub actor: String,
    /// The key.
    pub key: String,
    /// Digest of what was asked.
    pub digest: Digest,
    /// When.
    pub at_ms: u64,
    /// What kind of change it was.
    pub action: Action,
    /// The tenant as it was told.
    pub tenant: Tenant,
}

/// What is to become of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Keep this record, then commit it.
    Commit(Box<ChangeRecord>),
    /// Nothing changes: the tenant is as it was asked to be.
    Unchanged(Box<Tenant>),
    /// It was made before, and answered so.
    Replay(Box<IdempotentResponse>),
}

/// Why a change is not made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// There is no such tenant, and was none that is remembered.
    #[error("there is no tenant {0:?}")]
    Unknown(String),
    /// It was removed, and has drained.
    #[error("the tenant {0:?} was removed")]
    Gone(String),
    /// There is one of this name.
    #[error("there is a tenant {0:?} already")]
    Exists(String),
    /// It drains, which can't be changed any more.
    #[error("the tenant {0:?} is being removed")]
    Draining(String),
    /// It is in another state than the one that was meant.
    #[error("the tenant is at version {0} now")]
    Stale(Version),
    /// A value is out of bounds.
    #[error(transparent)]
    Invalid(#[from] SpecError),
    /// There are as many as there may be.
    #[error("there are {most} {what}, which is the most")]
    TooMany {
        /// Of what.
        what: &'static str,
        /// How many.
        most: usize,
    },
    /// The tenant has a secret of this name.
    #[error("there is a secret {0:?} already")]
    SecretExists(String),
    /// The tenant has no secret of this name.
    #[error("there is no secret {0:?}")]
    UnknownSecret(String),
    /// The idempotency key came with another request before.
    #[error("the idempotency key was used for another request")]
    KeyReused,
}

/// What passed for a tenant since the relay's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantCounters {
    /// Messages taken on.
    pub accepted: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages refused: at the door, or by a notice once they were taken on. Their clients may come again.
    pub refused: u64,
    /// Messages that were taken on and failed.
    pub failed: u64,
    /// Requests that were not the tenant's to make: another's, or of a class or destination that it may not use.
    pub rejected: u64,
}

/// A tenant in use.
#[derive(Clone, Debug)]
pub struct TenantEntry {
    /// The tenant.
    pub tenant: Tenant,
    /// The module's number for it.
    pub number: TenantId,
    /// What passed.
    pub counts: TenantCounters,
    /// Messages that were taken on and are still owed something.
    pub unacknowledged: usize,
}

/// The tenants of a name: one that takes messages on, and those that drain.
#[derive(Clone, Debug, Default)]
struct Line {
    current: Option<TenantEntry>,
    draining: Vec<TenantEntry>,
}

impl Line {
    fn newest(&self) -> Option<&TenantEntry> {
        self.current.as_ref().or(self.draining.last())
    }

    fn all(&self) -> impl Iterator<Item = &TenantEntry> {
        self.draining.iter().chain(&self.current)
    }

    fn find(&mut self, generation: u32) -> Option<&mut TenantEntry> {
        let mut all = self.draining.iter_mut().chain(&mut self.current);
        all.find(|entry| entry.tenant.version.generation == generation)
    }
}

/// All that is kept of a registry, for a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Number of the last change.
    pub seq: u64,
    /// All tenants.
    pub tenants: Vec<Tenant>,
    /// Generations of names whose tenants are gone, oldest first.
    pub gone: Vec<(String, u32)>,
    /// Answers by their keys, oldest first.
    pub idempotent_responses: Vec<IdempotentResponse>,
}

/// New terms of a tenant, for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TermsUpdate {
    /// The decision module's number of the tenant.
    pub number: TenantId,
    /// Its terms; none once it is removed.
    pub terms: Option<TenantTerms>,
}

/// The tenants there are.
#[derive(Default)]
pub struct Registry {
    classes: Vec<String>,
    lines: BTreeMap<String, Line>,
    /// Tenants that drain, by name and generation.
    draining: BTreeSet<(String, u32)>,
    /// Generation of the last tenant of a name that is gone, and the names oldest first.
    gone: BTreeMap<String, u32>,
    gone_order: VecDeque<String>,
    answered: VecDeque<IdempotentResponse>,
    numbers: Numbers,
    seq: u64,
}

/// The module's numbers, each given to one tenant at a time.
#[derive(Default)]
struct Numbers {
    used: usize,
    next: TenantId,
    free: Vec<TenantId>,
}

impl Numbers {
    /// A number that no other tenant has; `MOST_TENANTS` bounds them.
    fn take(&mut self) -> TenantId {
        self.used += 1;
        self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        })
    }

    fn give_back(&mut self, number: TenantId) {
        self.used -= 1;
        self.free.push(number);
    }
}

impl Registry {
    /// The classes that changes may name from now on. What a tenant was given before stays as it is.
    pub fn set_known_classes(&mut self, classes: &[String]) {
        self.classes = classes.to_vec();
    }

    /// No tenants, for a relay that knows these classes.
    #[must_use]
    pub fn new(classes: Vec<String>) -> Self {
        Registry {
            classes,
            ..Registry::default()
        }
    }

    /// The registry that was kept.
    #[must_use]
    pub fn restore(classes: Vec<String>, kept: PersistedState) -> Self {
        let mut registry = Registry {
            classes,
            seq: kept.seq,
            ..Registry::default()
        };
        let mut tenants = kept.tenants;
        tenants.sort_by_key(|tenant| tenant.version.generation);
        for tenant in tenants.into_iter().take(MAX_TENANTS) {
            registry.put(tenant);
        }
        kept.gone
            .into_iter()
            .for_each(|(name, generation)| registry.bury(name, generation));
        registry.answered = kept.idempotent_responses.into();
        registry
    }

    /// Names that are gone, with the generation of the last of each, oldest first.
    pub fn tombstones(&self) -> impl Iterator<Item = (&String, u32)> {
        self.gone_order
            .iter()
            .filter_map(|name| Some((name, *self.gone.get(name)?)))
    }

    /// Answers that are remembered by their keys, oldest first.
    pub fn idempotent_responses(&self) -> impl Iterator<Item = &IdempotentResponse> {
        self.answered.iter()
    }

    /// All that is to be kept.
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

    /// Number of the last change.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.seq
    }

    /// Changes were made up to this number: tells how many are not known here. The next one gets a higher number.
    pub fn skip_to_sequence(&mut self, seq: u64) -> u64 {
        let unknown = seq.saturating_sub(self.seq);
        self.seq += unknown;
        unknown
    }

    /// Tenants there are, those that drain among them.
    #[must_use]
    pub fn len(&self) -> usize {
        self.numbers.used
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.numbers.used == 0
    }

    /// All tenants, by name and generation.
    pub fn entries(&self) -> impl Iterator<Item = &TenantEntry> {
        self.lines.values().flat_map(Line::all)
    }

    /// All tenants of the names that come after one, by name and generation.
    pub fn entries_after<'a>(
        &'a self,
        name: Option<&str>,
    ) -> impl Iterator<Item = &'a TenantEntry> {
        self.range(name).flat_map(|(_, line)| line.all())
    }

    fn range<'a>(&'a self, after: Option<&str>) -> impl Iterator<Item = (&'a String, &'a Line)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        self.lines.range::<str, _>((from, Unbounded))
    }

    /// The tenants of each name that comes after one, newest first where there are several.
    pub fn newest_entries_after<'a>(
        &'a self,
        after: Option<&str>,
    ) -> impl Iterator<Item = &'a TenantEntry> {
        self.range(after).filter_map(|(_, line)| line.newest())
    }

    /// The newest tenant of a name; it is gone once it has drained, also while an older one still does.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Gone`] if the tenant was removed, [`RegistryError::Unknown`] if there is none.
    pub fn find(&self, name: &str) -> Result<&TenantEntry, RegistryError> {
        let newest = self.lines.get(name).and_then(Line::newest);
        let gone = self.gone.get(name).copied().unwrap_or(0);
        let newest = newest.filter(|entry| entry.tenant.version.generation > gone);
        newest.ok_or_else(|| {
            if self.gone.contains_key(name) {
                RegistryError::Gone(name.into())
            } else {
                RegistryError::Unknown(name.chars().take(crate::spec::MAX_NAME_CHARS).collect())
            }
        })
    }

    /// The tenants of a name that drain.
    #[must_use]
    pub fn draining_entries(&self, name: &str) -> &[TenantEntry] {
        self.lines.get(name).map_or(&[], |line| &line.draining)
    }

    /// The tenant that takes messages of this name on, if it may have one of a class for a destination.
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
        let Some(line) = self.lines.get_mut(name) else {
            return Err(AdmissionError::UnknownTenant);
        };
        let Some(entry) = &mut line.current else {
            return Err(AdmissionError::TenantDraining);
        };
        if let Err(why) = entry.tenant.spec.allows(class, destination) {
            entry.counts.rejected += 1;
            return Err(why);
        }
        Ok(entry)
    }

    /// The tenant that a message was taken on for, by the journal's name for it: see [`tenant_name`].
    pub fn entry_by_reference(&mut self, reference: &str) -> Option<&mut TenantEntry> {
        let (name, generation) = match reference.split_once('/') {
            Some((name, generation)) => (name, generation.parse().ok()?),
            None => (reference, 1),
        };
        self.lines.get_mut(name)?.find(generation)
    }

    /// Whether a client may name itself as a tenant with a secret: its generation and the secret's name.
    #[must_use]
    pub fn authenticate(&self, name: &str, secret: &[u8]) -> Option<Session> {
        let digest = Digest::of(secret);
        let tenant = &self.lines.get(name)?.current.as_ref()?.tenant;
        let found = tenant
            .secrets
            .iter()
            .find(|known| known.sha256.constant_time_eq(&digest))?;
        let (tenant, generation) = (tenant.name.clone(), tenant.version.generation);
        Some(Session {
            tenant,
            generation,
            secret: found.id.clone(),
        })
    }

    /// Whether a client that named itself before may still speak for its tenant.
    #[must_use]
    pub fn is_session_valid(&self, login: &Session) -> bool {
        let current = self
            .lines
            .get(&login.tenant)
            .and_then(|line| line.current.as_ref());
        current.is_some_and(|entry| {
            let Tenant {
                version, secrets, ..
            } = &entry.tenant;
            version.generation == login.generation
                && secrets.iter().any(|known| known.id == login.secret)
        })
    }

    /// What a command comes to, as things stand.
    ///
    /// # Errors
    ///
    /// The [`RegistryError`] for the administrator; nothing changes then.
    pub fn decide(&self, now_ms: u64, command: &Command) -> Result<Decision, RegistryError> {
        if let Some((key, digest)) = &command.key {
            let mine = |a: &&IdempotentResponse| {
                a.actor == command.actor.name && a.key == *key && a.lives(now_ms)
            };
            if let Some(answered) = self.answered.iter().find(mine) {
                return if answered.digest == *digest {
                    Ok(Decision::Replay(Box::new(answered.clone())))
                } else {
                    Err(RegistryError::KeyReused)
                };
            }
        }
        if let Change::Create(spec) = &command.change {
            return self.create(now_ms, command, spec);
        }
        let entry = self.find(&command.name)?;
        let tenant = &entry.tenant;
        if matches!(&command.precondition, Precondition::OneOf(versions) if !versions.contains(&tenant.version))
        {
            return Err(RegistryError::Stale(tenant.version));
        }
        let mut to = tenant.clone();
        let action = self.change(&command.change, &mut to, now_ms)?;
        if to == *tenant {
            return Ok(Decision::Unchanged(Box::new(to)));
        }
        to.version.revision += 1;
        to.changed_at_ms = now_ms;
        Ok(Decision::Commit(Box::new(self.record(
            now_ms,
            command,
            action,
            Some(tenant.clone()),
            to,
        ))))
    }

    fn create(
        &self,
        now_ms: u64,
        command: &Command,
        spec: &TenantSpec,
    ) -> Result<Decision, RegistryError> {
        check_name(&command.name)?;
        spec.check(&self.classes)?;
        let line = self.lines.get(&command.name);
        if line.is_some_and(|line| line.current.is_some()) {
            return Err(RegistryError::Exists(command.name.clone()));
        }
        if self.numbers.used >= MAX_TENANTS {
            return Err(RegistryError::TooMany {
                what: "tenants",
                most: MAX_TENANTS,
            });
        }
        if line.is_some_and(|line| line.draining.len() >= MAX_DRAINING_GENERATIONS) {
            return Err(RegistryError::TooMany {
                what: "tenants of this name that drain",
                most: MAX_DRAINING_GENERATIONS,
            });
        }
        let last = line
            .and_then(Line::newest)
            .map(|entry| entry.tenant.version.generation);
        let last = last.max(self.gone.get(&command.name).copied()).unwrap_or(0);
        let to = Tenant {
            name: command.name.clone(),
            version: Version {
                generation: last + 1,
                revision: 1,
            },
            state: State::Active,
            spec: spec.clone(),
            secrets: Vec::new(),
            created_at_ms: now_ms,
            changed_at_ms: now_ms,
        };
        Ok(Decision::Commit(Box::new(self.record(
            now_ms,
            command,
            Action::Created,
            None,
            to,
        ))))
    }

    /// Changes a tenant as asked, but for its version.
    fn change(
        &self,
        change: &Change,
        to: &mut Tenant,
        now_ms: u64,
    ) -> Result<Action, RegistryError> {
        let draining = to.state == State::Draining;
        if draining && !matches!(change, Change::Remove(_)) {
            return Err(RegistryError::Draining(to.name.clone()));
        }
        match change {
            Change::Create(_) => Err(RegistryError::Exists(to.name.clone())),
            Change::Replace(spec) => {
                spec.check(&self.classes)?;
                to.spec = spec.clone();
                Ok(Action::Changed)
            }
            Change::Merge(patch) => {
                // An array would be read as a specification whose fields stand in their order.
                if !patch.is_object() {
                    return Err(SpecError::new("patch", "is no object").into());
                }
                let bad = |e: serde_json::Error| SpecError::new("patch", e.to_string());
                let mut value = serde_json::to_value(&to.spec).map_err(bad)?;
                merge(&mut value, patch);
                let spec: TenantSpec = serde_json::from_value(value).map_err(bad)?;
                spec.check(&self.classes)?;
                to.spec = spec;
                Ok(Action::Changed)
            }
            Change::Pause => {
                to.state = State::Paused;
                Ok(Action::Paused)
            }
            Change::Resume => {
                to.state = State::Active;
                Ok(Action::Resumed)
            }
            Change::Remove(how) => {
                to.state = State::Draining;
                // One that drains may be hurried, but nothing that has ended comes back.
                to.spec.on_removal = how
                    .filter(|how| !draining || *how == OnRemoval::Refuse)
                    .unwrap_or(to.spec.on_removal);
                Ok(Action::Removed)
            }
            Change::AddSecret { id, sha256 } => {
                check_name(id).map_err(|e| SpecError::new("id", e.reason))?;
                if to.secrets.iter().any(|secret| secret.id == *id) {
                    return Err(RegistryError::SecretExists(id.clone()));
                }
                if to.secrets.len() >= MAX_SECRETS {
                    return Err(RegistryError::TooMany {
                        what: "secrets",
                        most: MAX_SECRETS,
                    });
                }
                to.secrets.push(Secret {
                    id: id.clone(),
                    sha256: sha256.clone(),
                    created_at_ms: now_ms,
                });
                Ok(Action::SecretAdded)
            }
            Change::DropSecret(id) => {
                let before = to.secrets.len();
                to.secrets.retain(|secret| secret.id != *id);
                if to.secrets.len() == before {
                    let id: String = id.chars().take(crate::spec::MAX_NAME_CHARS).collect();
                    return Err(RegistryError::UnknownSecret(id));
                }
                Ok(Action::SecretDropped)
            }
        }
    }

    fn record(
        &self,
        at_ms: u64,
        command: &Command,
        action: Action,
        from: Option<Tenant>,
        to: Tenant,
    ) -> ChangeRecord {
        let (actor, request, key) = (
            command.actor.clone(),
            command.request.clone(),
            command.key.clone(),
        );
        ChangeRecord {
            seq: self.seq + 1,
            at_ms,
            actor,
            request,
            key,
            action,
            from,
            to: Some(to),
        }
    }

    /// Tenants that drain and are owed nothing any more: the records by which they are gone.
    #[must_use]
    pub fn next_drained(&self, now_ms: u64) -> Option<ChangeRecord> {
        let entries = self.draining.iter().filter_map(|(name, generation)| {
            let line = self.lines.get(name)?;
            line.draining
                .iter()
                .find(|entry| entry.tenant.version.generation == *generation)
        });
        let drained = entries
            .into_iter()
            .find(|entry| entry.unacknowledged == 0)?;
        Some(ChangeRecord {
            seq: self.seq + 1,
            at_ms: now_ms,
            actor: Actor {
                name: "relay".into(),
                role: "relay".into(),
            },
            request: String::new(),
            key: None,
            action: Action::Gone,
            from: Some(drained.tenant.clone()),
            to: None,
        })
    }

    /// The state in which a tenant is known.
    #[must_use]
    pub fn version(&self, name: &str, generation: u32) -> Option<Version> {
        let mut all = self.lines.get(name)?.all();
        all.find(|entry| entry.tenant.version.generation == generation)
            .map(|entry| entry.tenant.version)
    }

    /// Takes note of a change that has been made already.
    pub fn observe_committed(&mut self, record: &ChangeRecord) {
        self.seq = self.seq.max(record.seq);
        if let (Some((key, digest)), Some(tenant)) = (&record.key, &record.to) {
            self.remember(IdempotentResponse {
                actor: record.actor.name.clone(),
                key: key.clone(),
                digest: digest.clone(),
                at_ms: record.at_ms,
                action: record.action,
                tenant: tenant.clone(),
            });
        }
    }

    /// Makes a change that was kept, and says what the module must know.
    pub fn commit(&mut self, record: &ChangeRecord) -> Option<TermsUpdate> {
        self.observe_committed(record);
        match (&record.from, &record.to) {
            (_, Some(to)) => Some(self.put(to.clone())),
            (Some(from), None) => self.take_out(from),
            (None, None) => None,
        }
    }

    fn remember(&mut self, answered: IdempotentResponse) {
        let now = answered.at_ms;
        self.answered
            .retain(|other| other.key != answered.key || other.actor != answered.actor);
        self.answered.push_back(answered);
        while self.answered.len() > MAX_IDEMPOTENCY_KEYS
            || self.answered.front().is_some_and(|a| !a.lives(now))
        {
            self.answered.pop_front();
        }
    }

    /// Takes a tenant as it is now.
    fn put(&mut self, tenant: Tenant) -> TermsUpdate {
        let line = self.lines.entry(tenant.name.clone()).or_default();
        let terms = tenant.terms();
        let drains = tenant.state == State::Draining;
        let entry = match line.find(tenant.version.generation) {
            Some(entry) => {
                entry.tenant = tenant;
                entry.clone()
            }
            None => {
                let number = self.numbers.take();
                TenantEntry {
                    tenant,
                    number,
                    counts: TenantCounters::default(),
                    unacknowledged: 0,
                }
            }
        };
        let (number, generation) = (entry.number, entry.tenant.version.generation);
        line.draining
            .retain(|other| other.tenant.version.generation != generation);
        if line
            .current
            .as_ref()
            .is_some_and(|other| other.tenant.version.generation == generation)
        {
            line.current = None;
        }
        if drains {
            self.draining
                .insert((entry.tenant.name.clone(), generation));
            line.draining.push(entry);
        } else {
            line.current = Some(entry);
        }
        line.draining
            .sort_by_key(|entry| entry.tenant.version.generation);
        TermsUpdate {
            number,
            terms: Some(terms),
        }
    }

    fn take_out(&mut self, tenant: &Tenant) -> Option<TermsUpdate> {
        let line = self.lines.get_mut(&tenant.name)?;
        let number = line.find(tenant.version.generation)?.number;
        line.draining.retain(|entry| entry.number != number);
        if line
            .current
            .as_ref()
            .is_some_and(|entry| entry.number == number)
        {
            line.current = None;
        }
        if line.newest().is_none() {
            self.lines.remove(&tenant.name);
        }
        self.draining
            .remove(&(tenant.name.clone(), tenant.version.generation));
        self.numbers.give_back(number);
        self.bury(tenant.name.clone(), tenant.version.generation);
        Some(TermsUpdate {
            number,
            terms: None,
        })
    }

    fn bury(&mut self, name: String, generation: u32) {
        let newest = self.gone.get(&name).copied().unwrap_or(0).max(generation);
        if self.gone.insert(name.clone(), newest).is_some() {
            self.gone_order.retain(|other| *other != name);
        }
        self.gone_order.push_back(name);
        if self.gone_order.len() > MAX_TOMBSTONES {
            let oldest = self.gone_order.pop_front();
            oldest.and_then(|name| self.gone.remove(&name));
        }
    }
}

impl IdempotentResponse {
    fn lives(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms.saturating_add(IDEMPOTENCY_KEY_TTL_MS)
    }
}

/// A client that has named itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The tenant.
    pub tenant: String,
    /// Which of its name.
    pub generation: u32,
    /// Name of the secret that it named itself with.
    pub secret: String,
}

/// Applies a JSON merge patch (RFC 7396).
fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(serde_json::Map::new());
    }
    let Value::Object(target) = target else {
        return;
    };
    for (name, value) in patch {
        if value.is_null() {
            target.remove(name);
        } else {
            merge(target.entry(name.clone()).or_insert(Value::Null), value);
        }
    }
}

/// A tenant's name in the journal's word for it, which has its generation behind a slash.
#[must_use]
pub fn tenant_name(reference: &str) -> &str {
    reference
        .split_once('/')
        .map_or(reference, |(name, _)| name)
}
