//! Hosts in discovery's list.

use super::ids::{DestinationId, HostId};

/// State of a host in discovery's list, which is independent of the host's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// Messages may be sent to the host.
    Ready,
    /// No new call to the host may start.
    Draining,
    /// The host is not listed any more.
    Removed,
}

/// An entry of discovery's host list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    /// Identifier of the host.
    pub host: HostId,
    /// Destination that the host belongs to.
    pub destination: DestinationId,
    /// Index of the host's kind in [`Settings::kinds`](super::Settings::kinds).
    pub kind: u8,
    /// Zone of the host.
    pub zone: u8,
    /// Whether calls to the host may start.
    pub state: HostState,
    /// Listed weight; [`WeightSource`](super::WeightSource) defines its meaning.
    pub weight: f32,
}
