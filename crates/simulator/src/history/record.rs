//! The record itself, and its queries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::limits::Limits;
use super::message::{Call, CallId, Message};

/// A span of the simulation's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSpan {
    /// Its first moment.
    pub from: Duration,
    /// The first moment after it; [`Duration::MAX`] while its end is not known.
    pub until: Duration,
}

/// What has passed round one relay.
pub struct History {
    /// What the relay is held to.
    pub limits: Limits,
    /// The moment of the current observation.
    pub now: Duration,
    /// All messages by their ids.
    pub messages: BTreeMap<String, Message>,
    /// Ids of messages that were accepted and have no end yet.
    pub open: BTreeSet<String>,
    /// The process that serves, or served last.
    pub process: u32,
    /// When that process started.
    pub process_started_at: Duration,
    /// Writes to the disk failed at some moment of the process' lifetime.
    pub disk_was_full: bool,
    /// Writes to the disk fail now.
    pub disk_is_full: bool,
    /// When the process was asked to terminate.
    pub termination_requested_at: Option<Duration>,
    /// Restarts, each from its signal or kill until a while after the relay was ready again.
    pub restarts: Vec<TimeSpan>,
    /// Times at which the platform takes no notices.
    pub notice_outages: Vec<TimeSpan>,
    /// Attempts that a message may have which is submitted now.
    pub max_attempts: usize,
}

impl History {
    /// A history in which nothing has passed yet.
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

    /// A call and its message.
    #[must_use]
    pub fn call(&self, id: &CallId) -> Option<(&Message, &Call)> {
        let message = self.messages.get(&id.message_id)?;
        Some((message, message.calls.get(id.index)?))
    }

    /// The moment from which something that was due `tolerance` after `since` counts as overdue: restarts and times
    /// without notices put it off, each that begins before it is overdue.
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

    /// Whether something that was due `tolerance` after `since` is overdue by now.
    #[must_use]
    pub fn is_past_due(&self, since: Duration, tolerance: Duration) -> bool {
        let due_at = self
            .excused_until(since, tolerance)
            .saturating_add(tolerance);
        due_at < self.now
    }
}
