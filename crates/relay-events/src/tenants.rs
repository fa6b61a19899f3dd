//! What fronts ask about tenants, and what they are told.

use tenancy::audit::Entry;
use tenancy::registry::{Action, Command, Counts, Login, Refusal, Tenant, Version};
pub use tenancy::Scope;
use tokio::sync::oneshot;

/// What is asked.
#[derive(Debug)]
pub enum TenantRequest {
    /// Change a tenant.
    Change(Box<Command>),
    /// Show a tenant.
    Find(String),
    /// Show those whose names come after one.
    Page {
        /// The name.
        after: Option<String>,
        /// So many at most.
        most: usize,
        /// Of these alone.
        scope: Scope,
    },
    /// Show what passed for a tenant.
    UsageReport(String),
    /// Show changes, the newest first.
    Audit {
        /// Only those before this one.
        before: Option<u64>,
        /// So many at most.
        most: usize,
        /// Of these tenants alone.
        scope: Scope,
        /// Of this one alone.
        tenant: Option<String>,
    },
    /// Show how the registry does.
    RegistryReport,
}

/// A tenant as it is shown.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantView {
    /// The tenant.
    pub tenant: Tenant,
    /// Those of its name that drain beside it.
    pub draining: Vec<Version>,
}

/// What a tenant has in the relay, and what passed since the relay's start.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// Its name.
    pub name: String,
    /// Which it is.
    pub version: Version,
    /// What passed.
    pub counts: Counts,
    /// Messages that are held, those out in calls among them.
    pub held: usize,
    /// Messages that are out in calls.
    pub in_flight: usize,
    /// Messages that were taken on and are still owed something, if only that the platform takes their notice.
    pub owed: usize,
}

/// How the registry does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryReport {
    /// Tenants there are.
    pub tenants: usize,
    /// Number of the last change.
    pub seq: u64,
    /// Changes that were lost to damage of the files.
    pub lost: u64,
    /// Changes that the audit log could not be told of yet.
    pub untold: usize,
    /// When the relay started, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// What is told.
#[derive(Debug)]
pub enum TenantResponse {
    /// It was changed.
    Changed {
        /// The tenant after.
        shown: Box<TenantView>,
        /// How.
        action: Action,
        /// It was asked before with the same key, and this is the answer of then.
        again: bool,
    },
    /// It was so already.
    Unchanged(Box<TenantView>),
    /// The tenant.
    Found(Box<TenantView>),
    /// Tenants, and whether more follow.
    Page(Vec<TenantView>, bool),
    /// What passed, for the tenant and for those of its name that drain; and since when, in milliseconds.
    UsageReport(Vec<UsageReport>, u64),
    /// Changes, and whether there are older ones that are still known.
    Audit(Vec<Entry>, bool),
    /// How the registry does.
    RegistryReport(RegistryReport),
    /// It was not changed, or there is nothing to show.
    Refused(Refusal),
    /// It was not changed, as it could not be kept.
    NotKept(String),
}

/// A question with the way back for its answer.
pub struct TenantCall {
    /// What is asked.
    pub ask: TenantRequest,
    /// Where the answer goes.
    pub reply: oneshot::Sender<TenantResponse>,
}

/// A client that names itself, and the way back for whom it is taken.
pub struct LoginRequest {
    /// The tenant's name.
    pub name: String,
    /// The secret.
    pub secret: Vec<u8>,
    /// Where the answer goes: none if it is wrong.
    pub reply: oneshot::Sender<Option<Login>>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_scope_covers_names_and_beginnings() {
        let scope = Scope(vec!["acme".into(), "team-*".into()]);
        for (name, covered) in [
            ("acme", true),
            ("acme2", false),
            ("team-", true),
            ("team-a", true),
            ("team", false),
            ("", false),
        ] {
            assert_eq!(scope.covers(name), covered, "{name}");
        }
        assert!(Scope(vec!["*".into()]).covers("anything") && !Scope(Vec::new()).covers("acme"));
    }
}
