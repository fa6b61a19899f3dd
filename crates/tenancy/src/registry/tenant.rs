//! A tenant, its secrets, and what the relay counts for it.

use policy::types::{TenantId, TenantState, TenantTerms};
use serde::{Deserialize, Serialize};

use super::version::Version;
use crate::secret::Digest;
use crate::spec::{OnRemoval, TenantSpec};

/// A tenant's state in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "openapi", schema(description = "Where a tenant stands."))]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Its messages are accepted and sent.
    Active,
    /// No message is accepted and no call is started; queued messages wait until they expire.
    Paused,
    /// It is removed: no message is accepted, queued ones end as its [`OnRemoval`] says, then the tenant is gone.
    Draining,
}

/// A credential with which clients authenticate as the tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Secret {
    /// Its name, unique among the tenant's secrets.
    pub id: String,
    /// SHA-256 of the secret, in hexadecimal digits.
    pub sha256: Digest,
    /// When it was added, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
}

/// A tenant as administrators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name; see [`crate::spec::check_name`].
    pub name: String,
    /// Its generation and revision.
    pub version: Version,
    /// Its state.
    pub state: State,
    /// What an administrator set.
    pub spec: TenantSpec,
    /// The credentials of its clients, [`crate::secret::MAX_SECRETS`] at most.
    pub secrets: Vec<Secret>,
    /// When it was created, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
    /// When it was last changed, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
}

impl Tenant {
    /// The terms by which the decision module treats the tenant.
    #[must_use]
    pub fn terms(&self) -> TenantTerms {
        let state = match (self.state, self.spec.on_removal) {
            (State::Active, _) => TenantState::Active,
            (State::Paused, _) => TenantState::Paused,
            (State::Draining, OnRemoval::Finish) => TenantState::Draining,
            (State::Draining, OnRemoval::Refuse) => TenantState::Terminating,
        };
        self.spec.terms(state)
    }

    /// The reference by which the journal knows the tenant: its name, with `/generation` after the first generation.
    #[must_use]
    pub fn reference(&self) -> String {
        match self.version.generation {
            1 => self.name.clone(),
            generation => format!("{}/{generation}", self.name),
        }
    }
}

/// The name in a tenant's reference; see [`Tenant::reference`].
#[must_use]
pub fn tenant_name(reference: &str) -> &str {
    reference
        .split_once('/')
        .map_or(reference, |(name, _)| name)
}

/// The name and generation in a tenant's reference; none if the generation is no number.
pub(super) fn parse_reference(reference: &str) -> Option<(&str, u32)> {
    match reference.split_once('/') {
        Some((name, generation)) => Some((name, generation.parse().ok()?)),
        None => Some((reference, 1)),
    }
}

/// What happened to a tenant's messages since the relay's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantCounters {
    /// Messages accepted.
    pub accepted: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages rejected, at admission or by a notice after they were accepted; their clients may retry.
    pub refused: u64,
    /// Messages that were accepted and failed.
    pub failed: u64,
    /// Requests that the tenant may not make: for another tenant, or of a class or destination it may not use.
    pub rejected: u64,
}

/// A tenant of the registry with its number and counters.
#[derive(Clone, Debug)]
pub struct TenantEntry {
    /// The tenant.
    pub tenant: Tenant,
    /// The decision module's number of the tenant.
    pub number: TenantId,
    /// What happened to its messages.
    pub counts: TenantCounters,
    /// Messages that were accepted and have no acknowledged end; a draining tenant is gone once there is none.
    pub unacknowledged: usize,
}

impl TenantEntry {
    /// The entry of a tenant that has no messages.
    pub(super) fn new(tenant: Tenant, number: TenantId) -> Self {
        TenantEntry {
            tenant,
            number,
            counts: TenantCounters::default(),
            unacknowledged: 0,
        }
    }

    /// The tenant's generation.
    pub(super) fn generation(&self) -> u32 {
        self.tenant.version.generation
    }
}
