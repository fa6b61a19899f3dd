//! The `Retry-After` waits that hosts have requested.

use std::collections::btree_map::{BTreeMap, Entry};
use std::time::Instant;

use policy::RouteKey;

/// For each route with a requested wait, the time before which no call may start.
#[derive(Default)]
pub(super) struct RetryAfterDeadlines {
    deadlines: BTreeMap<RouteKey, Instant>,
}

impl RetryAfterDeadlines {
    /// Records a wait until `deadline`. It never shortens a wait that was recorded earlier.
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

    /// Whether calls on a route have to wait at `now`.
    pub(super) fn is_waiting(&self, route: RouteKey, now: Instant) -> bool {
        self.deadlines
            .get(&route)
            .is_some_and(|deadline| *deadline > now)
    }

    /// Removes the waits that have ended.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.deadlines.retain(|_, deadline| *deadline > now);
    }
}
