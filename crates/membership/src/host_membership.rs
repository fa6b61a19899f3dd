//! The one place that knows how far the list may be believed: what was told, and since when that is unconfirmed.
//! It is asked when a call is chosen and again just before the call's first byte.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use policy::types::HostId;

use crate::poll_schedule::PollSchedule;

/// Calls wait so long for the answer to the first call for the list, from when that was made. An agent on the same machine
/// answers at once, a busy core makes some hundred milliseconds of it; one that has said nothing by then is silent, and
/// what is remembered has to serve.
pub const HOLD: Duration = Duration::from_secs(1);
/// The same where relays ask one discovery for it. What a call that has to wait there misses counts as told only after its wait,
/// and one that is overbooked after a restart of most relays would hold all of them up.
pub const ASKED_HOLD: Duration = Duration::from_millis(250);
/// A discovery that tells only lists older than the one in force is believed after so long. By then it counts as told of
/// all that the other one knew: 4 s after its address was told, and 6 s for what it had not been sent.
pub const OLDER_FOR: Duration = Duration::from_secs(10);

/// What the settings say of discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoverySettings {
    /// Changes come unasked, from an agent beside the relay that answers at once.
    pub pushed: bool,
    /// Relays that ask.
    pub siblings: usize,
    /// A host that drains, or is gone, gets nothing new so long after that was told.
    pub drain_grace: Duration,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// What to do with a list that discovery tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFreshness {
    /// Take it over.
    Current,
    /// It is older than the one in force. It may take hosts away and gives none back; a whole one is to be asked for again.
    Older,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    /// This process has not heard from discovery. Calls wait, until this moment once it has asked.
    Unconfirmed(Option<Instant>),
    /// It has, or discovery is silent.
    Believed,
}

/// What is known of the list.
pub struct HostMembership {
    trust: Trust,
    /// Hosts that are listed as up.
    up: BTreeSet<HostId>,
    /// Since when all that was told was older than what is in force.
    older: Option<Instant>,
    /// When to ask.
    pub pace: PollSchedule,
}

impl HostMembership {
    /// For a process that starts; whatever list it has is from before. `heard` is how long ago the process before last heard from
    /// discovery; none if no process ever has, so that all is as the platform told it.
    ///
    /// Where relays ask, what the list has to tell binds only some seconds after: a list that was confirmed a moment ago serves until the
    /// answer can be here. Guards a discovery that is overbooked after a restart of most relays, whose calls wait.
    pub fn new(terms: &DiscoverySettings, heard: Option<Duration>) -> Self {
        let fresh = !terms.pushed
            && heard.is_none_or(|ago| ago <= PollSchedule::confirmation_lifetime(terms));
        let trust = if fresh {
            Trust::Believed
        } else {
            Trust::Unconfirmed(None)
        };
        HostMembership {
            trust,
            up: BTreeSet::new(),
            older: None,
            pace: PollSchedule::new(terms),
        }
    }

    /// A call for the list is made.
    pub fn poll_started(&mut self, now: Instant) {
        if self.trust == Trust::Unconfirmed(None) {
            let hold = if self.pace.is_push() {
                HOLD
            } else {
                ASKED_HOLD
            };
            self.trust = Trust::Unconfirmed(Some(now + hold));
        }
    }

    /// Discovery has told where the list stands, and that is in force; or it is silent, and the list has to serve. Whether
    /// calls waited for that.
    pub fn confirm(&mut self) -> bool {
        std::mem::replace(&mut self.trust, Trust::Believed) != Trust::Believed
    }

    /// Whether calls may rest on the list.
    pub fn is_list_confirmed(&self, now: Instant) -> bool {
        match self.trust {
            Trust::Believed => true,
            Trust::Unconfirmed(until) => until.is_some_and(|until| until <= now),
        }
    }

    /// Until when calls wait if discovery says nothing, while they do.
    pub fn confirmation_deadline(&self) -> Option<Instant> {
        match self.trust {
            Trust::Unconfirmed(until) => until,
            Trust::Believed => None,
        }
    }

    /// A host is listed as up, or drains or is gone.
    pub fn set_listed(&mut self, host: HostId, up: bool) {
        if up {
            self.up.insert(host);
        } else {
            self.up.remove(&host);
        }
    }

    /// Whether a host is listed as up.
    pub fn is_listed_up(&self, host: HostId) -> bool {
        self.up.contains(&host)
    }

    /// Whether a call to a host may begin.
    pub fn may_start_call(&self, host: HostId, now: Instant) -> bool {
        self.is_list_confirmed(now) && self.is_listed_up(host)
    }

    /// Judges a list by its version and that of the one in force; `whole` if it stands for itself.
    ///
    /// Guards drains that one discovery told against another, or one that was started again, that is behind: its list
    /// would take them back. And it guards against that list's own drains being passed over meanwhile.
    pub fn judge_list(
        &mut self,
        version: u64,
        in_force: u64,
        whole: bool,
        now: Instant,
    ) -> ListFreshness {
        if version >= in_force {
            if whole {
                self.older = None;
            }
            return ListFreshness::Current;
        }
        let since = *self.older.get_or_insert(now);
        if whole && now >= since + OLDER_FOR {
            self.older = None;
            return ListFreshness::Current;
        }
        ListFreshness::Older
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(pushed: bool) -> HostMembership {
        let drain_grace = Duration::from_secs(2);
        HostMembership::new(
            &DiscoverySettings {
                pushed,
                siblings: 300,
                drain_grace,
                seed: 7,
            },
            None,
        )
    }

    /// What was confirmed a moment ago binds later where relays ask, and counts as told where lists are pushed.
    #[test]
    fn a_list_that_was_confirmed_a_moment_ago_serves_where_relays_ask_for_it() {
        let (now, drain_grace) = (Instant::now(), Duration::from_secs(2));
        for (pushed, heard, serves) in [
            (false, 0, true),
            (false, 3, true),
            (false, 4, false),
            (true, 0, false),
        ] {
            let terms = DiscoverySettings {
                pushed,
                siblings: 300,
                drain_grace,
                seed: 7,
            };
            let mut members = HostMembership::new(&terms, Some(Duration::from_secs(heard)));
            members.set_listed(1, true);
            assert_eq!(
                members.may_start_call(1, now),
                serves,
                "pushed {pushed}, {heard} s"
            );
        }
    }

    #[test]
    fn a_process_that_starts_calls_nobody_until_its_list_is_confirmed() {
        let (mut members, now) = (members(true), Instant::now());
        members.set_listed(1, true);
        assert!(
            !members.may_start_call(1, now + HOLD * 100),
            "it has not even asked"
        );
        members.poll_started(now);
        assert!(!members.may_start_call(1, now));
        members.set_listed(1, false);
        members.set_listed(2, true);
        members.confirm();
        assert!(!members.may_start_call(1, now) && members.may_start_call(2, now));
        assert_eq!(members.confirmation_deadline(), None);
    }

    #[test]
    fn a_silent_discovery_holds_calls_up_for_a_bounded_time_however_often_it_is_asked() {
        let (mut members, now) = (members(true), Instant::now());
        members.set_listed(1, true);
        for asked in 0..10 {
            members.poll_started(now + HOLD / 4 * asked);
        }
        assert_eq!(members.confirmation_deadline(), Some(now + HOLD));
        assert!(!members.may_start_call(1, now + HOLD - Duration::from_millis(1)));
        assert!(members.may_start_call(1, now + HOLD));
    }

    #[test]
    fn an_older_list_is_believed_only_once_it_can_be_no_lag() {
        let (mut members, now) = (members(true), Instant::now());
        assert_eq!(members.judge_list(8, 8, false, now), ListFreshness::Current);
        assert_eq!(members.judge_list(7, 8, true, now), ListFreshness::Older);
        assert_eq!(
            members.judge_list(7, 8, false, now + OLDER_FOR),
            ListFreshness::Older,
            "a change alone says too little"
        );
        assert_eq!(
            members.judge_list(7, 8, true, now + OLDER_FOR - Duration::from_millis(1)),
            ListFreshness::Older
        );
        assert_eq!(
            members.judge_list(7, 8, true, now + OLDER_FOR),
            ListFreshness::Current
        );
        // The next time counts from its own beginning.
        assert_eq!(
            members.judge_list(6, 7, true, now + OLDER_FOR),
            ListFreshness::Older
        );
        assert_eq!(
            members.judge_list(7, 7, true, now + OLDER_FOR),
            ListFreshness::Current
        );
        assert_eq!(
            members.judge_list(6, 7, true, now + OLDER_FOR * 2),
            ListFreshness::Older
        );
    }
}
