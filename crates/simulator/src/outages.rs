//! Outages of destinations, as the checker is told of them.

use std::cell::RefCell;
use std::collections::BTreeSet;

/// The destinations that are down at present. Several faults of one destination are one outage.
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
