//! How full the relay's tables are, each by name with its bound.

use runtime::Runtime;

use crate::classes;
use crate::event_loop::EventLoop;
use crate::in_flight::MAX_COMPLETED_NAMES;

/// A table, what it holds and what it may hold at most.
pub type Level = (&'static str, usize, usize);

/// All tables that grow with what passes. Messages in hand are in whole words; the journal is in bytes.
pub fn of<R: Runtime>(driver: &EventLoop<R>) -> Vec<Level> {
    let settings = &driver.config.settings;
    vec![
        ("held", driver.in_flight.len(), settings.max_queued),
        (
            "names",
            driver.in_flight.recently_completed(),
            MAX_COMPLETED_NAMES,
        ),
        ("calls", driver.calls.len(), settings.max_calls),
        // Told or not, what has an end is owed until the platform has heard of it.
        (
            "notices",
            driver.notifications.len(),
            driver.journal.pending().len(),
        ),
        (
            "idle",
            driver.host_connections.idle_connections(),
            driver.host_connections.max_idle_connections(),
        ),
        ("classes", driver.classes.len(), classes::MAX_CLASSES),
        // Keys at rest are let go of when there are more of them than that.
        (
            "turns",
            driver.policy.handover_snapshot().ordered_keys.len(),
            3 * settings.max_queued,
        ),
        (
            "journal",
            driver.journal.length(),
            driver.journal.max_length(),
        ),
    ]
}
