//! Hosts as discovery lists them.

use super::ids::{DestinationId, HostId};

/// State of a host as discovery lists it; it says nothing of the host's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// May be sent to.
    Ready,
    /// No new call may start there.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// A host as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// Its destination.
    pub destination: DestinationId,
    /// Index of its kind in the settings.
    pub kind: u8,
    /// Its zone.
    pub zone: u8,
    /// Its state.
    pub state: HostState,
    /// See [`WeightSource`].
    pub weight: f32,
}
