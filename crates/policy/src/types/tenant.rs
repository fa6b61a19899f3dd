//! Tenants: their quotas, their terms and their states.

/// A tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second, over all replicas, that have their full value.
    pub quota_per_second: f64,
    /// Its weight against those of others; 1 by default.
    pub share: f64,
}

/// How much a tenant may submit; more is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Messages a second in the long run, above 0.
    pub per_second: f64,
    /// Messages that may be submitted at once, 1 at least.
    pub burst: f64,
}

/// State of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TenantState {
    /// Its messages are accepted and sent.
    #[default]
    Active,
    /// Nothing is accepted and no new attempt starts; queued messages wait until their deadlines.
    Paused,
    /// Nothing is accepted; queued messages are still sent.
    Draining,
    /// Nothing is accepted; calls in flight go on to their ends, all other messages end at once.
    Terminating,
}

/// What a tenant is entitled to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantTerms {
    /// Its weight against those of others, 1 at least.
    pub weight: u32,
    /// How much it may submit; any amount if none.
    pub rate: Option<RateLimit>,
    /// Messages in the queue at most.
    pub max_queued: usize,
    /// Messages in flight at most.
    pub max_in_flight: usize,
    /// Its state.
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
