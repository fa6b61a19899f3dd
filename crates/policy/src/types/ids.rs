//! Units and identifiers.

use serde::{Deserialize, Serialize};

/// A time or a duration, in microseconds. The caller chooses the origin of times.
pub type Micros = u64;
/// Identifies a message.
pub type MessageId = u64;
/// Identifies a host.
pub type HostId = u32;
/// Identifies a destination; a message may only go to hosts of its destination.
pub type DestinationId = u16;
/// Identifies a tenant: its index in the settings, or the number that it is assigned while it is known.
pub type TenantId = u16;

/// A destination, or one host of it where its hosts are separate routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    /// Destination of the route.
    pub destination: DestinationId,
    /// The host if the destination's hosts are separate routes; `None` otherwise.
    pub host: Option<HostId>,
}
