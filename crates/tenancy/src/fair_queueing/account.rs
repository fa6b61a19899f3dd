//! The scheduler's state for one tenant.

use policy::types::{Micros, TenantTerms};

use crate::meter::Meter;

/// A tenant's terms and the counts of its messages.
pub(super) struct Account {
    pub(super) terms: TenantTerms,
    /// Whether the tenant was removed. The account is removed once no message is queued.
    pub(super) is_removed: bool,
    pub(super) meter: Meter,
    /// Messages in the queue, including those in flight.
    pub(super) queued: usize,
    pub(super) queued_bytes: usize,
    pub(super) in_flight: usize,
    /// The time until which the tenant has a share of the queue, with or without queued messages; 0 if it has no share.
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

    /// Whether the tenant has a share of the queue.
    pub(super) fn shares_queue(&self) -> bool {
        self.shares_queue_until > 0
    }

    /// The tenant's weight as an integer, so that sums are exact.
    pub(super) fn weight(&self) -> u64 {
        u64::from(self.terms.weight)
    }
}
