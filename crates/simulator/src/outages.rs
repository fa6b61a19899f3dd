//! Outages of destinations, as they are reported to the checker.

use std::cell::RefCell;
use std::collections::BTreeSet;

/// The destinations that are currently down. Overlapping faults of one destination are one outage.
#[derive(Debug, Default)]
pub(crate) struct OngoingOutages {
    destinations: RefCell<BTreeSet<u16>>,
}

impl OngoingOutages {
    /// Records whether a destination is down; returns whether that is a change.
    pub(crate) fn record(&self, destination: u16, is_down: bool) -> bool {
        let mut destinations = self.destinations.borrow_mut();
        if is_down {
            destinations.insert(destination)
        } else {
            destinations.remove(&destination)
        }
    }
}
