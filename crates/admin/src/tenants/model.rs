//! Bodies of requests and responses about tenants.

use relay_events::tenants::{TenantView, UsageReport};
use serde::{Deserialize, Serialize};
use tenancy::audit::rfc3339;
use tenancy::registry::State;
use tenancy::spec::TenantSpec;
use utoipa::ToSchema;

/// A tenant.
#[derive(Debug, Serialize, ToSchema)]
pub struct Tenant {
    /// Its name.
    #[schema(max_length = 64, pattern = "^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    pub name: String,
    /// Its generation and revision; the ETag is this in quotes.
    #[schema(example = "1.7")]
    pub version: String,
    /// Its state.
    pub state: State,
    /// Its specification.
    pub spec: TenantSpec,
    /// Its secrets, by name.
    pub secrets: Vec<Secret>,
    /// When it was created.
    #[schema(format = DateTime)]
    pub created_at: String,
    /// When it was last changed.
    #[schema(format = DateTime)]
    pub changed_at: String,
    /// Versions of earlier tenants of this name that are still draining.
    pub draining: Vec<String>,
}

/// A secret. Its value cannot be read back.
#[derive(Debug, Serialize, ToSchema)]
pub struct Secret {
    /// Its name, unique within the tenant.
    pub id: String,
    /// When it was added.
    #[schema(format = DateTime)]
    pub created_at: String,
}

impl From<TenantView> for Tenant {
    fn from(TenantView { tenant, draining }: TenantView) -> Self {
        let secret = |secret: &tenancy::registry::Secret| Secret {
            id: secret.id.clone(),
            created_at: rfc3339(secret.created_at_ms),
        };
        Tenant {
            version: tenant.version.to_string(),
            secrets: tenant.secrets.iter().map(secret).collect(),
            created_at: rfc3339(tenant.created_at_ms),
            changed_at: rfc3339(tenant.changed_at_ms),
            draining: draining.iter().map(ToString::to_string).collect(),
            name: tenant.name,
            state: tenant.state,
            spec: tenant.spec,
        }
    }
}

/// A tenant to create.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct NewTenant {
    /// Its name.
    #[schema(max_length = 64, pattern = "^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    pub name: String,
    /// Its specification.
    #[serde(default)]
    pub spec: TenantSpec,
}

/// A specification that replaces the current one.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// The complete specification; an absent field gets its default.
    pub spec: TenantSpec,
}

/// A merge patch of the specification (RFC 7396): an absent field is unchanged, a null one gets its default.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The patch.
    #[schema(value_type = Object)]
    pub spec: serde_json::Value,
}

/// A page of tenants.
#[derive(Debug, Serialize, ToSchema)]
pub struct TenantPage {
    /// Tenants, sorted by name.
    pub items: Vec<Tenant>,
    /// The cursor of the next page; null on the last page.
    pub next: Option<String>,
}

/// A tenant's current load, and its counters since the relay's start.
#[derive(Debug, Serialize, ToSchema)]
pub struct TenantUsage {
    /// Its name.
    pub name: String,
    /// Its generation and revision.
    pub version: String,
    /// Start of the counters: the relay's start.
    #[schema(format = DateTime)]
    pub since: String,
    /// Messages accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages refused, on admission or later by a notification; their clients may retry.
    pub refused: u64,
    /// Accepted messages that failed.
    pub failed: u64,
    /// Requests rejected because the tenant is not permitted to make them.
    pub rejected: u64,
    /// Messages queued or in flight now.
    #[serde(rename = "held")]
    pub queued: usize,
    /// Messages in flight now.
    pub in_flight: usize,
    /// Accepted messages in the journal, including those that only wait for the platform to accept their notification.
    #[serde(rename = "owed")]
    pub unacknowledged: usize,
    /// Usage of earlier tenants of this name that are still draining.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[schema(no_recursion)]
    pub draining: Vec<TenantUsage>,
}

impl TenantUsage {
    /// A tenant's usage. `since_ms` is the start of the counters, in milliseconds since the Unix epoch.
    pub fn new(usage: UsageReport, since_ms: u64) -> Self {
        TenantUsage {
            name: usage.name,
            version: usage.version.to_string(),
            since: rfc3339(since_ms),
            accepted: usage.counts.accepted,
            delivered: usage.counts.delivered,
            refused: usage.counts.refused,
            failed: usage.counts.failed,
            rejected: usage.counts.rejected,
            queued: usage.queued,
            in_flight: usage.in_flight,
            unacknowledged: usage.unacknowledged,
            draining: Vec::new(),
        }
    }
}
