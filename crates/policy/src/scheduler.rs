//! What the module asks of whoever says which tenant may take which part of the hold, the slots and the rate.
//!
//! The module decides which host, whether to retry and what is turned away; who comes before whom is decided
//! behind [`Sharing`]. Nothing here decides anything.

use crate::types::{DestinationId, Message, MessageId, Micros, TenantId, TenantTerms};

/// What there is room for in a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Messages.
    pub messages: usize,
    /// Bytes of messages.
    pub bytes: usize,
}

/// A message that waits for a destination which takes calls now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The message.
    pub id: MessageId,
    /// Whose it is.
    pub tenant: TenantId,
    /// Where it must go.
    pub destination: DestinationId,
    /// What waiting costs, in worth.
    pub cost_of_delay: f64,
    /// How long its call is likely to hold a slot.
    pub expected_duration: Micros,
}

/// Says which tenant may take which part of the hold, the slots and the rate.
pub trait TenantScheduler {
    /// A tenant's terms from now on; none when it is gone, which holds once nothing of it is held.
    fn update_tenant(&mut self, now: Micros, tenant: TenantId, terms: Option<TenantTerms>);

    /// Whether the tenant may have one more message taken on; if not, how long its client should stay away, 0
    /// for as long as the module advises.
    fn admit(&self, now: Micros, tenant: TenantId) -> Result<(), Micros>;

    /// A message is held from now on.
    fn message_queued(&mut self, now: Micros, message: &Message);

    /// It is held no more.
    fn message_removed(&mut self, message: &Message);

    /// Whether the tenant holds more than its part of so much, so that others may have it.
    fn exceeds_share(&self, tenant: TenantId, room: Capacity) -> bool;

    /// Whether the last of the room is to be kept from the tenant: it has its part, and others may ask.
    fn must_yield(&mut self, now: Micros, tenant: TenantId, room: Capacity) -> bool;

    /// Puts offers, which come with the highest regret first, in the order in which they are to be tried, and
    /// drops those that may not be.
    fn order_candidates(&mut self, now: Micros, offers: &mut Vec<Candidate>);

    /// Whether the tenant may have one more call out.
    fn may_start_call(&self, tenant: TenantId) -> bool;

    /// A message went out in a call that is likely to hold its slot for `cost`, 0 where it joined another's.
    fn call_started(&mut self, message: &Message, cost: Micros);

    /// An attempt came back after `elapsed`, for which `cost` was told when it was sent.
    fn call_ended(&mut self, message: &Message, cost: Micros, elapsed: Micros);

    /// A round is over; whether offers were left for want of slots alone.
    fn round_ended(&mut self, short_of_slots: bool);

    /// Whether the tenant's messages are to end at once.
    fn abandons_messages(&self, tenant: TenantId) -> bool;

    /// What the tenant has in the relay.
    fn usage(&self, tenant: TenantId) -> TenantUsage;

    /// When what the tenant has used of its rate is made good; a moment in the past if it is.
    fn rate_used_until(&self, tenant: TenantId) -> Micros;

    /// The same as another process knew it, for this one to go on from.
    fn restore_rate_used_until(&mut self, tenant: TenantId, until: Micros);
}

/// What a tenant has in the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantUsage {
    /// Messages held, those out in calls among them.
    pub queued: usize,
    /// Messages out in calls.
    pub in_flight: usize,
}

/// No tenants: all come as the module has them.
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
