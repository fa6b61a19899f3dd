//! A tenant, its secrets and its message counters.

use policy::types::{TenantId, TenantState, TenantTerms};
use serde::{Deserialize, Serialize};

use super::version::Version;
use crate::secret::Digest;
use crate::spec::{OnRemoval, TenantSpec};

/// A tenant's state in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(
    feature = "openapi",
    schema(description = "A tenant's state in its life cycle.")
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Its messages are accepted and sent.
    Active,
    /// No message is accepted and no call is started; queued messages wait until they expire.
    Paused,
    /// Removed: no message is accepted, queued messages are handled according to [`OnRemoval`], then the tenant is
    /// gone.
    Draining,
}

/// A credential with which clients authenticate as the tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Secret {
    /// The secret's name, unique among the tenant's secrets.
    pub id: String,
    /// SHA-256 of the secret, in hexadecimal digits.
    pub sha256: Digest,
    /// When the secret was added, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
}

/// A tenant as administrators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name; see [`crate::spec::check_name`].
    pub name: String,
    /// The tenant's generation and revision.
    pub version: Version,
    /// The state in the life cycle.
    pub state: State,
    /// The specification that an administrator set.
    pub spec: TenantSpec,
    /// The credentials of the tenant's clients, at most [`crate::secret::MAX_SECRETS`].
    pub secrets: Vec<Secret>,
    /// When the tenant was created, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
    /// When the tenant was last changed, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
}

impl Tenant {
    /// The tenant's terms in the decision module.
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

    /// The tenant's reference in the journal: its name, followed by `/generation` for all but the first generation.
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

/// The name and generation in a tenant's reference; none if the generation is not a number.
pub(super) fn parse_reference(reference: &str) -> Option<(&str, u32)> {
    match reference.split_once('/') {
        Some((name, generation)) => Some((name, generation.parse().ok()?)),
        None => Some((reference, 1)),
    }
}

/// Counts of a tenant's messages since the relay started.
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
    /// Requests that the tenant is not allowed to make: for another tenant, or for a class or destination that it may
    /// not use.
    pub rejected: u64,
}

/// A tenant of the registry with its number and counters.
#[derive(Clone, Debug)]
pub struct TenantEntry {
    /// The tenant as administrators see it.
    pub tenant: Tenant,
    /// The tenant's number in the decision module.
    pub number: TenantId,
    /// Counts of the tenant's messages.
    pub counts: TenantCounters,
    /// Accepted messages whose end is not yet acknowledged. A draining tenant is gone once there are none.
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
