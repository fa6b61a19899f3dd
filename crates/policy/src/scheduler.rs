//! The interface to the tenant scheduler, which shares the queue, the slots and the rate among tenants.
//!
//! The policy decides on hosts, retries and rejections; implementations of [`TenantScheduler`] decide on the order
//! among tenants. This module makes no decisions.

use crate::types::{DestinationId, Message, MessageId, Micros, TenantId, TenantTerms};

/// A number of messages and of bytes in the queue: its capacity, or a part in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Number of messages.
    pub messages: usize,
    /// Total size of the messages in bytes.
    pub bytes: usize,
}

/// A waiting message whose destination accepts calls now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Identifier of the waiting message.
    pub id: MessageId,
    /// Tenant of the message.
    pub tenant: TenantId,
    /// Destination of the message.
    pub destination: DestinationId,
    /// The value that is lost by waiting; see `DELAY_HORIZON`.
    pub cost_of_delay: f64,
    /// How long its call is expected to hold a slot; zero if the destination has no route.
    pub expected_duration: Micros,
}

/// Shares the queue, the slots and the rate among tenants.
pub trait TenantScheduler {
    /// Sets a tenant's terms. `None` removes the tenant once no message of it is queued.
    fn update_tenant(&mut self, now: Micros, tenant: TenantId, terms: Option<TenantTerms>);

    /// Checks whether another message of the tenant may be accepted.
    ///
    /// # Errors
    ///
    /// The Retry-After for the client, or 0 to use the policy's own.
    fn admit(&self, now: Micros, tenant: TenantId) -> Result<(), Micros>;

    /// Records that a message was added to the queue.
    fn message_queued(&mut self, now: Micros, message: &Message);

    /// Records that a message was removed from the queue.
    fn message_removed(&mut self, message: &Message);

    /// Whether the tenant's queued messages exceed its share of this capacity.
    fn exceeds_share(&self, tenant: TenantId, capacity: Capacity) -> bool;

    /// Whether the tenant has used its share and must leave the rest of the capacity to others.
    fn must_yield(&mut self, now: Micros, tenant: TenantId, capacity: Capacity) -> bool;

    /// Sorts candidates into the order in which they are to be sent and removes those that must not be sent. The input
    /// is in the policy's order: restored messages without attempts, then the highest cost of delay first.
    fn order_candidates(&mut self, now: Micros, candidates: &mut Vec<Candidate>);

    /// Whether another call of the tenant may start.
    fn may_start_call(&self, tenant: TenantId) -> bool;

    /// Records that a message was sent in a call that is expected to hold its slot for `cost`; 0 if it joined the call
    /// of another message.
    fn call_started(&mut self, message: &Message, cost: Micros);

    /// Records that an attempt ended after `elapsed`. `cost` is the value that was passed to [`Self::call_started`].
    fn call_ended(&mut self, message: &Message, cost: Micros, elapsed: Micros);

    /// Records the end of a round. `short_of_slots` is true if candidates were left over only because no slot was free.
    fn round_ended(&mut self, short_of_slots: bool);

    /// Whether the tenant's waiting messages are answered at once instead of being sent.
    fn abandons_messages(&self, tenant: TenantId) -> bool;

    /// Counts the tenant's messages in the relay.
    fn usage(&self, tenant: TenantId) -> TenantUsage;

    /// Time at which the tenant's rate limiter is full again; a time in the past if it is full now.
    fn rate_used_until(&self, tenant: TenantId) -> Micros;

    /// Restores the value of [`Self::rate_used_until`] from an earlier process.
    fn restore_rate_used_until(&mut self, tenant: TenantId, until: Micros);
}

/// Numbers of a tenant's messages in the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantUsage {
    /// Messages in the queue, including those in flight.
    pub queued: usize,
    /// Messages in flight.
    pub in_flight: usize,
}

/// A scheduler for a relay without tenants: it admits all messages and keeps the policy's order.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTenants;

impl TenantScheduler for NoTenants {
    fn update_tenant(&mut self, _: Micros, _: TenantId, _: Option<TenantTerms>) {}

    fn admit(&self, _: Micros, _: TenantId) -> Result<(), Micros> {
        Ok(())
    }

    fn message_queued(&mut self, _: Micros, _: &Message) {}

    fn message_removed(&mut self, _: &Message) {}

    fn exceeds_share(&self, _: TenantId, _: Capacity) -> bool {
        true
    }

    fn must_yield(&mut self, _: Micros, _: TenantId, _: Capacity) -> bool {
        false
    }

    fn order_candidates(&mut self, _: Micros, _: &mut Vec<Candidate>) {}

    fn may_start_call(&self, _: TenantId) -> bool {
        true
    }

    fn call_started(&mut self, _: &Message, _: Micros) {}

    fn call_ended(&mut self, _: &Message, _: Micros, _: Micros) {}

    fn round_ended(&mut self, _: bool) {}

    fn abandons_messages(&self, _: TenantId) -> bool {
        false
    }

    fn usage(&self, _: TenantId) -> TenantUsage {
        TenantUsage::default()
    }

    fn rate_used_until(&self, _: TenantId) -> Micros {
        0
    }

    fn restore_rate_used_until(&mut self, _: TenantId, _: Micros) {}
}
