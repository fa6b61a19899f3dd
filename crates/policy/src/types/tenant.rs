//! Tenants: their quotas, their terms and their states.

/// A tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages per second, over all replicas, that have their full value.
    pub quota_per_second: f64,
    /// Weight of the tenant relative to other tenants; 1 by default.
    pub share: f64,
}

/// Limit on the messages that a tenant may submit; messages above it are rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate in messages per second; above 0.
    pub per_second: f64,
    /// Maximum number of messages that may be submitted at once; at least 1.
    pub burst: f64,
}

/// State of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TenantState {
    /// Messages are accepted and sent.
    #[default]
    Active,
    /// No message is accepted and no new attempt starts; queued messages wait until their deadlines.
    Paused,
    /// No message is accepted; queued messages are still sent.
    Draining,
    /// No message is accepted; calls in flight run to completion, and all other messages end at once.
    Terminating,
}

/// The limits and the state that apply to a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantTerms {
    /// Weight of the tenant relative to other tenants; at least 1.
    pub weight: u32,
    /// Rate limit for submissions; `None` for no limit.
    pub rate: Option<RateLimit>,
    /// Maximum number of the tenant's messages in the queue.
    pub max_queued: usize,
    /// Maximum number of the tenant's messages in flight.
    pub max_in_flight: usize,
    /// Whether messages are accepted and sent.
    pub state: TenantState,
}

impl Default for TenantTerms {
    fn default() -> Self {
        TenantTerms {
            weight: 1,
            rate: None,
            max_queued: usize::MAX,
            max_in_flight: usize::MAX,
            state: TenantState::Active,
        }
    }
}
