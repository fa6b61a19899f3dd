//! What the scheduler keeps for a tenant.

use policy::types::{Micros, TenantTerms};

use crate::meter::Meter;

/// A tenant's terms and its messages.
pub(super) struct Account {
    pub(super) terms: TenantTerms,
    /// The tenant is gone; the account is removed once no message is queued.
    pub(super) is_removed: bool,
    pub(super) meter: Meter,
    /// Messages in the queue, those in flight included.
    pub(super) queued: usize,
    pub(super) queued_bytes: usize,
    pub(super) in_flight: usize,
    /// The tenant has a share of the queue until then, whether it has a message in it or not; 0 if it has no share.
    pub(super) shares_queue_until: Micros,
}

impl Account {
    /// The account of a tenant without messages.
    pub(super) fn new(terms: TenantTerms) -> Self {
        Account {
            terms,
            is_removed: false,
            meter: Meter::default(),
            queued: 0,
            queued_bytes: 0,
            in_flight: 0,
            shares_queue_until: 0,
        }
    }

    /// Whether the tenant is among those that share the queue.
    pub(super) fn shares_queue(&self) -> bool {
        self.shares_queue_until > 0
    }

    /// The tenant's weight, for exact sums.
    pub(super) fn weight(&self) -> u64 {
        u64::from(self.terms.weight)
    }
}
