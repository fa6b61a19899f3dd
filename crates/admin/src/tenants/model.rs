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
    /// Where it stands.
    pub state: State,
    /// What is set of it.
    pub spec: TenantSpec,
    /// Its secrets, by name.
    pub secrets: Vec<Secret>,
    /// When it was made.
    #[schema(format = DateTime)]
    pub created_at: String,
    /// When it was last changed.
    #[schema(format = DateTime)]
    pub changed_at: String,
    /// Versions of older tenants of this name that still drain.
    pub draining: Vec<String>,
}

/// A secret; what it is can't be read back.
#[derive(Debug, Serialize, ToSchema)]
pub struct Secret {
    /// Its name among the tenant's.
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

/// A tenant to be made.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct NewTenant {
    /// Its name.
    #[schema(max_length = 64, pattern = "^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    pub name: String,
    /// What is set of it.
    #[serde(default)]
    pub spec: TenantSpec,
}

/// Another specification in place of what there is.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// The whole of it: what is absent has its default.
    pub spec: TenantSpec,
}

/// Parts of the specification that are to change (RFC 7396): what is absent stays, what is null goes back to its
/// default.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The parts.
    #[schema(value_type = Object)]
    pub spec: serde_json::Value,
}

/// Some of the tenants.
#[derive(Debug, Serialize, ToSchema)]
pub struct TenantPage {
    /// They, by name.
    pub items: Vec<Tenant>,
    /// The cursor of the next page; null on the last.
    pub next: Option<String>,
}

/// What a tenant has in the relay, and what passed since the relay's start.
#[derive(Debug, Serialize, ToSchema)]
pub struct TenantUsage {
    /// Its name.
    pub name: String,
    /// Its generation and revision.
    pub version: String,
    /// When counting began: the relay's start.
    #[schema(format = DateTime)]
    pub since: String,
    /// Messages taken on.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages refused, at the door or by a notice; their clients may come again.
    pub refused: u64,
    /// Messages that were taken on and failed.
    pub failed: u64,
    /// Requests that were not the tenant's to make.
    pub rejected: u64,
    /// Messages held now, those out in calls among them.
    #[serde(rename = "held")]
    pub queued: usize,
    /// Messages out in calls now.
    pub in_flight: usize,
    /// Messages taken on that are still owed something, if only that the platform takes their notice.
    #[serde(rename = "owed")]
    pub unacknowledged: usize,
    /// The same for older tenants of this name that still drain.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[schema(no_recursion)]
    pub draining: Vec<TenantUsage>,
}

impl TenantUsage {
    /// A tenant's usage, counted since a time in milliseconds since the Unix epoch.
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
