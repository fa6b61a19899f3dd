//! Units and identifiers.

/// A moment or a duration, in microseconds.
pub type Micros = u64;
/// Identifies a message.
pub type MessageId = u64;
/// Identifies a host.
pub type HostId = u32;
/// Identifies a destination; a message may only go to hosts of its destination.
pub type DestinationId = u16;
/// Identifies a tenant: its index in the settings, or the number that it has while it is known.
pub type TenantId = u16;
