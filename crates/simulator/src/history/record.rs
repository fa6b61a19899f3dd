//! The recorded history and its queries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::limits::Limits;
use super::message::{Call, CallId, Message};

/// A half-open interval of simulated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSpan {
    /// Inclusive start.
    pub from: Duration,
    /// Exclusive end; [`Duration::MAX`] while the end is not known.
    pub until: Duration,
}

/// Everything that was observed around one relay.
pub struct History {
    /// Limits that the relay must keep.
    pub limits: Limits,
    /// Time of the current observation.
    pub now: Duration,
    /// All messages by their ids.
    pub messages: BTreeMap<String, Message>,
    /// Ids of messages that were accepted and are not finished.
    pub open: BTreeSet<String>,
    /// The process that serves, or that served last.
    pub process: u32,
    /// When that process started.
    pub process_started_at: Duration,
    /// Whether writes to the disk failed at any time during the process's lifetime.
    pub disk_was_full: bool,
    /// Whether writes to the disk fail at present.
    pub disk_is_full: bool,
    /// When the process was signalled to terminate.
    pub termination_requested_at: Option<Duration>,
    /// Restarts, each from its signal or kill until `RESTART_SETTLE_TIME` after the relay was ready again.
    pub restarts: Vec<TimeSpan>,
    /// Periods in which the platform accepts no notices.
    pub notice_outages: Vec<TimeSpan>,
    /// Maximum number of attempts for a message that is submitted now.
    pub max_attempts: usize,
}

impl History {
    /// Creates an empty history.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        History {
            max_attempts: limits.max_attempts,
            limits,
            now: Duration::ZERO,
            messages: BTreeMap::new(),
            open: BTreeSet::new(),
            process: 0,
            process_started_at: Duration::ZERO,
            disk_was_full: false,
            disk_is_full: false,
            termination_requested_at: None,
            restarts: Vec::new(),
            notice_outages: Vec::new(),
        }
    }

    /// Returns a call and its message.
    #[must_use]
    pub fn call(&self, id: &CallId) -> Option<(&Message, &Call)> {
        let message = self.messages.get(&id.message_id)?;
        Some((message, message.calls.get(id.index)?))
    }

    /// Returns the start, in place of `since`, of the tolerance for something that was due `tolerance` after `since`.
    /// Each restart and notice outage that begins before the due time moves the start to its end.
    #[must_use]
    pub fn excused_until(&self, since: Duration, tolerance: Duration) -> Duration {
        let excuses = self.restarts.iter().chain(&self.notice_outages);
        excuses.fold(since, |since, excuse| {
            let is_excused = excuse.from <= since.saturating_add(tolerance) && since < excuse.until;
            if is_excused {
                excuse.until
            } else {
                since
            }
        })
    }

    /// Whether something that was due `tolerance` after `since` is overdue now, with restarts and notice outages excused.
    #[must_use]
    pub fn is_past_due(&self, since: Duration, tolerance: Duration) -> bool {
        let due_at = self
            .excused_until(since, tolerance)
            .saturating_add(tolerance);
        due_at < self.now
    }
}
