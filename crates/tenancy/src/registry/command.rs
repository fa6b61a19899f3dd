//! Commands of administrators to the registry, and the records of committed changes.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::tenant::Tenant;
use super::version::Precondition;
use crate::secret::Digest;
use crate::spec::{OnRemoval, TenantSpec};

/// Who makes a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Actor {
    /// Name of the token, or `relay` for automatic changes by the relay.
    pub name: String,
    /// The token's role, or `relay` for the relay itself.
    pub role: String,
}

impl Actor {
    /// The actor of automatic changes by the relay.
    pub(super) fn relay() -> Self {
        Actor {
            name: "relay".into(),
            role: "relay".into(),
        }
    }
}

/// A requested change of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Create a tenant.
    Create(TenantSpec),
    /// Replace the specification.
    Replace(TenantSpec),
    /// Change parts of the specification by a JSON merge patch (RFC 7396).
    Merge(Value),
    /// Accept no more messages and start no more calls.
    Pause,
    /// Make a paused tenant active.
    Resume,
    /// Remove the tenant. The value overrides the specification's handling of queued messages if it is present.
    Remove(Option<OnRemoval>),
    /// Add a secret.
    AddSecret {
        /// The secret's name, unique among the tenant's secrets.
        id: String,
        /// SHA-256 of the secret.
        sha256: Digest,
    },
    /// Remove the secret of this name.
    DropSecret(String),
}

/// A request of an administrator.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Who sent the request.
    pub actor: Actor,
    /// The request's identifier, for the audit log.
    pub request: String,
    /// The idempotency key, and a digest of the request.
    pub key: Option<(String, Digest)>,
    /// The tenant's name.
    pub name: String,
    /// The versions that the change may be applied to; ignored when a tenant is created.
    pub precondition: Precondition,
    /// The requested change.
    pub change: Change,
}

/// The kind of a committed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(
    feature = "openapi",
    schema(description = "The kind of a committed change.")
)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The tenant was created.
    Created,
    /// Its specification was changed.
    Changed,
    /// It was paused.
    Paused,
    /// It was made active again.
    Resumed,
    /// It was removed, and drains.
    Removed,
    /// It has drained, and is gone.
    Gone,
    /// A secret was added.
    SecretAdded,
    /// A secret was removed.
    SecretDropped,
}

/// A persisted change, with all that is needed to reapply it and to write its audit entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Sequence number among all changes of the registry, from 1.
    pub seq: u64,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who made the change.
    pub actor: Actor,
    /// The request's identifier.
    pub request: String,
    /// The idempotency key, and the digest of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<(String, Digest)>,
    /// The kind of change.
    pub action: Action,
    /// The tenant before the change; none if the change created it.
    pub from: Option<Tenant>,
    /// The tenant after the change; none if the change removed it for good.
    pub to: Option<Tenant>,
}
