//! What the module asks of whoever says which tenant may take which part of the hold, the slots and the rate.
//!
//! The module decides which host, whether to retry and what is turned away; who comes before whom is decided
//! behind [`Sharing`]. Nothing here decides anything.

use crate::types::{DestinationId, Message, MessageId, Micros, TenantId, Terms};

/// What there is room for in a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Messages.
    pub places: usize,
    /// Bytes of messages.
    pub bytes: usize,
}

/// A message that waits for a destination which takes calls now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The message.
    pub id: MessageId,
    /// Whose it is.
    pub tenant: TenantId,
    /// Where it must go.
    pub destination: DestinationId,
    /// What waiting costs, in worth.
    pub regret: f64,
    /// How long its call is likely to hold a slot.
    pub cost: Micros,
}

/// Says which tenant may take which part of the hold, the slots and the rate.
pub trait Sharing {
    /// A tenant's terms from now on; none when it is gone, which holds once nothing of it is held.
    fn set(&mut self, now: Micros, tenant: TenantId, terms: Option<Terms>);

    /// Whether the tenant may have one more message taken on; if not, how long its client should stay away, 0
    /// for as long as the module advises.
    fn admit(&self, now: Micros, tenant: TenantId) -> Result<(), Micros>;

    /// A message is held from now on.
    fn taken(&mut self, now: Micros, message: &Message);

    /// It is held no more.
    fn released(&mut self, message: &Message);

    /// Whether the tenant holds more than its part of so much, so that others may have it.
    fn over_share(&self, tenant: TenantId, room: Room) -> bool;

    /// Whether the last of the room is to be kept from the tenant: it has its part, and others may ask.
    fn crowds(&mut self, now: Micros, tenant: TenantId, room: Room) -> bool;

    /// Puts offers, which come with the highest regret first, in the order in which they are to be tried, and
    /// drops those that may not be.
    fn arrange(&mut self, now: Micros, offers: &mut Vec<Offer>);

    /// Whether the tenant may have one more call out.
    fn may_send(&self, tenant: TenantId) -> bool;

    /// A message went out in a call that is likely to hold its slot for `cost`, 0 where it joined another's.
    fn sent(&mut self, message: &Message, cost: Micros);

    /// An attempt came back after `elapsed`, for which `cost` was told when it was sent.
    fn returned(&mut self, message: &Message, cost: Micros, elapsed: Micros);

    /// A round is over; whether offers were left for want of slots alone.
    fn settled(&mut self, short_of_slots: bool);

    /// Whether the tenant's messages are to end at once.
    fn abandons(&self, tenant: TenantId) -> bool;

    /// What the tenant has in the relay.
    fn load(&self, tenant: TenantId) -> Load;

    /// When what the tenant has used of its rate is made good; a moment in the past if it is.
    fn used_until(&self, tenant: TenantId) -> Micros;

    /// The same as another process knew it, for this one to go on from.
    fn use_until(&mut self, tenant: TenantId, until: Micros);
}

/// What a tenant has in the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Messages held, those out in calls among them.
    pub held: usize,
    /// Messages out in calls.
    pub in_flight: usize,
}

/// No tenants: all come as the module has them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unshared;

impl Sharing for Unshared {
    fn set(&mut self, _: Micros, _: TenantId, _: Option<Terms>) {}

    fn admit(&self, _: Micros, _: TenantId) -> Result<(), Micros> {
        Ok(())
    }

    fn taken(&mut self, _: Micros, _: &Message) {}

    fn released(&mut self, _: &Message) {}

    fn over_share(&self, _: TenantId, _: Room) -> bool {
        true
    }

    fn crowds(&mut self, _: Micros, _: TenantId, _: Room) -> bool {
        false
    }

    fn arrange(&mut self, _: Micros, _: &mut Vec<Offer>) {}

    fn may_send(&self, _: TenantId) -> bool {
        true
    }

    fn sent(&mut self, _: &Message, _: Micros) {}

    fn returned(&mut self, _: &Message, _: Micros, _: Micros) {}

    fn settled(&mut self, _: bool) {}

    fn abandons(&self, _: TenantId) -> bool {
        false
    }

    fn load(&self, _: TenantId) -> Load {
        Load::default()
    }

    fn used_until(&self, _: TenantId) -> Micros {
        0
    }

    fn use_until(&mut self, _: TenantId, _: Micros) {}
}
