//! The waits that hosts have requested by `Retry-After`.

use std::collections::btree_map::{BTreeMap, Entry};
use std::time::Instant;

use policy::RouteKey;

/// Until when no call on a route may start.
#[derive(Default)]
pub(super) struct RetryAfterDeadlines {
    deadlines: BTreeMap<RouteKey, Instant>,
}

impl RetryAfterDeadlines {
    /// Records a wait. It never shortens one that was recorded earlier.
    pub(super) fn extend(&mut self, route: RouteKey, deadline: Instant) {
        match self.deadlines.entry(route) {
            Entry::Vacant(entry) => {
                entry.insert(deadline);
            }
            Entry::Occupied(mut entry) => {
                let latest = deadline.max(*entry.get());
                entry.insert(latest);
            }
        }
    }

    /// Whether calls on a route have to wait.
    pub(super) fn is_waiting(&self, route: RouteKey, now: Instant) -> bool {
        self.deadlines
            .get(&route)
            .is_some_and(|deadline| *deadline > now)
    }

    /// Forgets the waits that have ended.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.deadlines.retain(|_, deadline| *deadline > now);
    }
}
