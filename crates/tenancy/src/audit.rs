//! Entries of the audit log: who changed which tenant, and its state before and after.
//!
//! The doc comments of the fields are the descriptions in the OpenAPI document of the administration API. The
//! descriptions of the types are set by `schema(description)`.

use std::time::{Duration, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::registry::{Action, ChangeRecord, State, Tenant};
use crate::spec::TenantSpec;

/// A tenant before or after a change, without the digests of its secrets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "openapi", schema(as = Image, description = "A tenant before or after a change. Only the names of its secrets are included."))]
pub struct TenantSnapshot {
    /// The tenant's generation and revision.
    pub version: String,
    /// The tenant's state.
    pub state: State,
    /// The tenant's specification.
    pub spec: TenantSpec,
    /// Names of the tenant's secrets.
    pub secrets: Vec<String>,
}

impl TenantSnapshot {
    fn of(tenant: &Tenant) -> Self {
        TenantSnapshot {
            version: tenant.version.to_string(),
            state: tenant.state,
            spec: tenant.spec.clone(),
            secrets: tenant
                .secrets
                .iter()
                .map(|secret| secret.id.clone())
                .collect(),
        }
    }
}

/// An entry of the audit log: one committed change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(
    feature = "openapi",
    schema(description = "An entry of the audit log: one committed change.")
)]
pub struct Entry {
    /// Sequence number among all changes, from 1 without gaps.
    pub seq: u64,
    /// When the change was made, as an RFC 3339 timestamp.
    pub at: String,
    /// Name of the token that was used, or `relay` for automatic changes by the relay.
    pub actor: String,
    /// The role of the token.
    pub role: String,
    /// The request's identifier.
    pub request: String,
    /// The kind of change.
    pub action: Action,
    /// The tenant's name.
    pub tenant: String,
    /// The tenant before the change; null if the change created it.
    pub from: Option<TenantSnapshot>,
    /// The tenant after the change; null if it is gone.
    pub to: Option<TenantSnapshot>,
}

impl Entry {
    /// Creates the entry of a committed change.
    pub fn of(record: &ChangeRecord) -> Self {
        let tenant = record.to.as_ref().or(record.from.as_ref());
        Entry {
            seq: record.seq,
            at: rfc3339(record.at_ms),
            actor: record.actor.name.clone(),
            role: record.actor.role.clone(),
            request: record.request.clone(),
            action: record.action,
            tenant: tenant.map(|tenant| tenant.name.clone()).unwrap_or_default(),
            from: record.from.as_ref().map(TenantSnapshot::of),
            to: record.to.as_ref().map(TenantSnapshot::of),
        }
    }

    /// Encodes the entry as a line of JSON with its line feed.
    #[must_use]
    pub fn line(&self) -> Vec<u8> {
        // Serialization fails for none of this crate's types.
        let mut text = serde_json::to_vec(self).unwrap_or_default();
        text.push(b'\n');
        text
    }
}

/// Formats a time in milliseconds since the Unix epoch as an RFC 3339 timestamp in UTC.
#[must_use]
pub fn rfc3339(at_ms: u64) -> String {
    /// The last time whose year has four digits. Later times are formatted as this one.
    const LAST_RFC3339_MS: u64 = 253_402_300_799_999;
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(at_ms.min(LAST_RFC3339_MS)))
        .to_string()
}

#[cfg(test)]
mod tests;
