//! What administrators ask of the registry, and the records of what was committed.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::tenant::Tenant;
use super::version::Precondition;
use crate::secret::Digest;
use crate::spec::{OnRemoval, TenantSpec};

/// Who makes a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Actor {
    /// Name of the token, or `relay` for what the relay does by itself.
    pub name: String,
    /// The token's role.
    pub role: String,
}

impl Actor {
    /// The relay itself.
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
    /// Remove the tenant; its specification says what becomes of queued messages unless this does.
    Remove(Option<OnRemoval>),
    /// Add a secret.
    AddSecret {
        /// Its name, unique among the tenant's secrets.
        id: String,
        /// Its digest.
        sha256: Digest,
    },
    /// Remove the secret of this name.
    DropSecret(String),
}

/// A request of an administrator.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Who sent it.
    pub actor: Actor,
    /// The request's identifier, for the audit log.
    pub request: String,
    /// The idempotency key, and a digest of the request.
    pub key: Option<(String, Digest)>,
    /// The tenant's name.
    pub name: String,
    /// The versions that the change is meant for; ignored where a tenant is created.
    pub precondition: Precondition,
    /// The change.
    pub change: Change,
}

/// The kind of a committed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(
    feature = "openapi",
    schema(description = "What kind of change was made.")
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

/// A change as it is persisted: enough to apply it again and to write its audit entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Sequence number among all changes of the registry, from 1.
    pub seq: u64,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who made it.
    pub actor: Actor,
    /// The request's identifier.
    pub request: String,
    /// The idempotency key, and the digest of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<(String, Digest)>,
    /// The kind of change.
    pub action: Action,
    /// The tenant before the change; none where it was created.
    pub from: Option<Tenant>,
    /// The tenant after the change; none where it is gone.
    pub to: Option<Tenant>,
}
