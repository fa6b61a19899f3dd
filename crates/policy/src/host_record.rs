//! The record of a host.

use crate::types::{HostEntry, Micros};

/// A host from discovery's list, with its failures and its load. A removed host is kept until no call to it is in
/// flight.
pub(crate) struct HostRecord {
    pub(crate) entry: HostEntry,
    pub(crate) consecutive_failures: u32,
    pub(crate) ejected_until: Micros,
    /// Number of calls in flight to the host.
    pub(crate) in_flight: usize,
}

impl HostRecord {
    /// Creates the record of a host that has not been called yet.
    pub(crate) fn new(entry: HostEntry) -> Self {
        HostRecord {
            entry,
            consecutive_failures: 0,
            ejected_until: 0,
            in_flight: 0,
        }
    }
}
