//! Requests of front ends about tenants, and the responses.

use tenancy::audit::Entry;
use tenancy::registry::{Action, Command, RegistryError, Session, Tenant, TenantCounters, Version};
pub use tenancy::Scope;
use tokio::sync::oneshot;

/// A request about tenants.
#[derive(Debug)]
pub enum TenantRequest {
    /// Change a tenant.
    Change(Box<Command>),
    /// Show a tenant.
    Find(String),
    /// List tenants by name.
    Page {
        /// Only names after this one.
        after: Option<String>,
        /// Maximum number of tenants in the page.
        limit: usize,
        /// Only tenants that this scope covers.
        scope: Scope,
    },
    /// Show a tenant's usage.
    UsageReport(String),
    /// List entries of the audit log, the newest first.
    Audit {
        /// Only entries before this sequence number.
        before: Option<u64>,
        /// Maximum number of entries in the page.
        limit: usize,
        /// Only entries about tenants that this scope covers.
        scope: Scope,
        /// Only entries about this tenant.
        tenant: Option<String>,
    },
    /// Show the state of the registry.
    RegistryReport,
}

/// The view of a tenant that front ends show.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantView {
    /// The tenant.
    pub tenant: Tenant,
    /// Earlier versions with the same name that are still draining.
    pub draining: Vec<Version>,
}

/// A tenant's current load, and its counters since the relay's start.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// The tenant's name.
    pub name: String,
    /// The tenant's version.
    pub version: Version,
    /// Counters since the relay's start.
    pub counts: TenantCounters,
    /// Messages queued or in flight.
    pub queued: usize,
    /// Messages with an open call.
    pub in_flight: usize,
    /// Accepted messages in the journal, including those that only wait for the platform to accept their
    /// notification.
    pub unacknowledged: usize,
}

/// The state of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryReport {
    /// Number of tenants.
    pub tenants: usize,
    /// Sequence number of the last change.
    pub seq: u64,
    /// Changes that were lost because files were damaged.
    pub lost_changes: u64,
    /// Changes that are not in the audit log yet.
    pub unlogged_changes: usize,
    /// When the relay started, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// A response to a [`TenantRequest`].
#[derive(Debug)]
pub enum TenantResponse {
    /// The tenant was changed.
    Changed {
        /// The tenant after the change.
        view: Box<TenantView>,
        /// The kind of change.
        action: Action,
        /// Whether this repeats the response to an earlier request with the same idempotency key.
        is_replay: bool,
    },
    /// Nothing was changed, because the tenant was already as requested.
    Unchanged(Box<TenantView>),
    /// The tenant.
    Found(Box<TenantView>),
    /// A page of tenants, and whether more follow.
    Page(Vec<TenantView>, bool),
    /// Usage of the tenant and of its draining versions, and the time from which it is counted, in milliseconds since
    /// the Unix epoch.
    UsageReport(Vec<UsageReport>, u64),
    /// A page of audit entries, and whether older ones are available.
    Audit(Vec<Entry>, bool),
    /// The state of the registry.
    RegistryReport(RegistryReport),
    /// The request was refused, or there is nothing to return.
    Refused(RegistryError),
    /// Nothing was changed, because the change could not be written to disk for this reason.
    NotPersisted(String),
}

/// A request with the channel for its response.
pub struct TenantCall {
    /// The request.
    pub request: TenantRequest,
    /// Channel for the response.
    pub reply: oneshot::Sender<TenantResponse>,
}

/// A client's authentication, with the channel for its result.
pub struct LoginRequest {
    /// The tenant's name.
    pub name: String,
    /// The secret, as the client sent it.
    pub secret: Vec<u8>,
    /// Channel for the session; `None` is sent if the name or the secret is wrong.
    pub reply: oneshot::Sender<Option<Session>>,
}
