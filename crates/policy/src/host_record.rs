//! What is known of a host.

use crate::types::{HostEntry, Micros};

/// A listed host.
pub(crate) struct HostRecord {
    pub(crate) entry: HostEntry,
    pub(crate) consecutive_failures: u32,
    pub(crate) ejected_until: Micros,
    /// Calls in flight.
    pub(crate) in_flight: usize,
}

impl HostRecord {
    /// A host that has taken no call yet.
    pub(crate) fn new(entry: HostEntry) -> Self {
        HostRecord {
            entry,
            consecutive_failures: 0,
            ejected_until: 0,
            in_flight: 0,
        }
    }
}
