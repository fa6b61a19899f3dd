//! Which hosts may be called, and whether the host list behind that decision is confirmed.
//!
//! The event loop checks this when it chooses a host, and the host connections check it again just before the first
//! byte of a call is written.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use policy::types::HostId;

use crate::{DiscoveryMode, DiscoverySettings, PollSchedule};

/// In push mode, how long calls wait for a confirmation of the list after the first poll was sent.
///
/// An agent on the same machine answers at once, and a busy processor delays it by a few hundred milliseconds. An agent
/// that has not answered after this time counts as silent, and calls use the cached list.
const PUSH_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// The same limit in poll mode.
///
/// It is shorter because a discovery service that is overloaded after most relays restarted would otherwise delay the
/// calls of all of them. An event that a waiting poll misses binds the relay only after that poll was answered.
const POLL_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(250);

/// How long discovery has to send only lists older than the current one before a full snapshot among them is accepted.
///
/// By then the relay counts as notified of everything that the more recent discovery instance knew: 4 s after it learned
/// of that instance's address, and 6 s after an event that it was not sent.
const STALE_LIST_ACCEPTED_AFTER: Duration = Duration::from_secs(10);

/// The properties of a list from discovery that decide whether it may be applied.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedList {
    /// The list's version.
    pub version: u64,
    /// Whether the list is a full snapshot, and not only the changes since an earlier version.
    pub is_full: bool,
}

/// What to do with a list that discovery has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFreshness {
    /// The list is to be applied.
    Current,
    /// The list is older than the current one. It may take hosts out of service but must not bring any back, and a full
    /// snapshot has to be requested.
    Older,
}

/// Whether discovery has confirmed the list to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    /// Discovery has not answered yet, so calls wait. `deadline` is set by the first poll; calls no longer wait after it.
    Pending { deadline: Option<Instant> },
    /// Discovery has confirmed the list, or calls use the cached list because discovery did not answer.
    Confirmed,
}

/// The hosts that are listed as ready, and whether that list is confirmed.
pub struct HostMembership {
    confirmation: Confirmation,
    ready_hosts: BTreeSet<HostId>,
    /// When discovery began to send only lists older than the current one; `None` while its lists are current.
    stale_since: Option<Instant>,
    /// When to poll discovery.
    pub poll_schedule: PollSchedule,
}

impl HostMembership {
    /// Creates the state of a process that starts with the list its predecessor cached.
    ///
    /// `last_contact` is the time since a predecessor last heard from discovery, or `None` if there was none, in which
    /// case the list is the one that the platform provided at start.
    ///
    /// In poll mode events bind the relay only some seconds after they happen, so a list that was confirmed recently
    /// serves until the first poll can be answered. Without this, calls of all relays would wait for a discovery service
    /// that is overloaded after most of them restarted.
    #[must_use]
    pub fn new(settings: &DiscoverySettings, last_contact: Option<Duration>) -> Self {
        let is_recently_confirmed = settings.mode == DiscoveryMode::Poll
            && last_contact
                .is_none_or(|elapsed| elapsed <= PollSchedule::confirmation_lifetime(settings));
        let confirmation = if is_recently_confirmed {
            Confirmation::Confirmed
        } else {
            Confirmation::Pending { deadline: None }
        };
        HostMembership {
            confirmation,
            ready_hosts: BTreeSet::new(),
            stale_since: None,
            poll_schedule: PollSchedule::new(settings),
        }
    }

    /// Records that a poll is being sent. The first one starts the time limit on waiting for a confirmation.
    pub fn poll_started(&mut self, now: Instant) {
        if self.confirmation == (Confirmation::Pending { deadline: None }) {
            let timeout = match self.poll_schedule.mode() {
                DiscoveryMode::Push => PUSH_CONFIRMATION_TIMEOUT,
                DiscoveryMode::Poll => POLL_CONFIRMATION_TIMEOUT,
            };
            self.confirmation = Confirmation::Pending {
                deadline: Some(now + timeout),
            };
        }
    }

    /// Marks the list as confirmed, either by discovery or because discovery stayed silent past the deadline.
    ///
    /// Returns whether calls were waiting for the confirmation.
    pub fn confirm(&mut self) -> bool {
        let previous = std::mem::replace(&mut self.confirmation, Confirmation::Confirmed);
        previous != Confirmation::Confirmed
    }

    /// Whether calls may rely on the list.
    #[must_use]
    pub fn is_list_confirmed(&self, now: Instant) -> bool {
        match self.confirmation {
            Confirmation::Confirmed => true,
            Confirmation::Pending { deadline } => deadline.is_some_and(|deadline| deadline <= now),
        }
    }

    /// The time at which calls stop waiting for a confirmation; `None` if they don't wait or nothing was polled yet.
    #[must_use]
    pub fn confirmation_deadline(&self) -> Option<Instant> {
        match self.confirmation {
            Confirmation::Pending { deadline } => deadline,
            Confirmation::Confirmed => None,
        }
    }

    /// Whether calls wait for a confirmation and no poll has been sent yet, so that the wait has no time limit.
    #[must_use]
    pub fn awaits_first_poll(&self) -> bool {
        self.confirmation == Confirmation::Pending { deadline: None }
    }

    /// Records that a host is listed as ready.
    pub fn set_ready(&mut self, host: HostId) {
        self.ready_hosts.insert(host);
    }

    /// Records that a host is draining or removed.
    pub fn set_unavailable(&mut self, host: HostId) {
        self.ready_hosts.remove(&host);
    }

    /// Whether a host is listed as ready.
    #[must_use]
    pub fn is_ready(&self, host: HostId) -> bool {
        self.ready_hosts.contains(&host)
    }

    /// Whether a call to a host may start.
    #[must_use]
    pub fn may_start_call(&self, host: HostId, now: Instant) -> bool {
        self.is_list_confirmed(now) && self.is_ready(host)
    }

    /// Decides whether a received list may replace the one of `current_version`.
    ///
    /// A discovery instance that lags behind another one, or behind its own state before a restart, would undo drains
    /// that were announced already. Its list is reported as older until it has lagged for
    /// [`STALE_LIST_ACCEPTED_AFTER`]; then a full snapshot is accepted, so that the drains it announces
    /// itself are not ignored permanently.
    pub fn check_freshness(
        &mut self,
        received: ReceivedList,
        current_version: u64,
        now: Instant,
    ) -> ListFreshness {
        let ReceivedList { version, is_full } = received;
        if version >= current_version {
            if is_full {
                self.stale_since = None;
            }
            return ListFreshness::Current;
        }
        let stale_since = *self.stale_since.get_or_insert(now);
        if is_full && now >= stale_since + STALE_LIST_ACCEPTED_AFTER {
            self.stale_since = None;
            return ListFreshness::Current;
        }
        ListFreshness::Older
    }
}
