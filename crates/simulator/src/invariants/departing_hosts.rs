//! `leaving`: a host that is announced as leaving gets no new calls, whether or not the relay has read its entry.
//!
//! Where lists are pushed, a process counts as notified of the entries of its discovery agent from its start on, whether or
//! not a watch is open. Entries that are held back because discovery is silent or has moved count as notified later.

use std::collections::BTreeMap;
use std::time::Duration;

use super::invariant::Invariant;
use super::tolerance::{IN_FLIGHT_TOLERANCE, UNSAVED_BEFORE_KILL};
use super::violation::Violations;
use crate::history::{History, Observation, ReceivedCall};

/// Time until the relay detects that its watch has fallen silent.
const SILENT_WATCH_TIMEOUT: Duration = Duration::from_secs(6);
/// Time from the end of a delayed poll until the relay counts as notified.
const DELAYED_POLL_TIME: Duration = Duration::from_secs(2);
/// Time from SIGHUP until the relay counts as notified of the entries of a moved discovery.
const MOVED_DISCOVERY_TIME: Duration = Duration::from_secs(4);

/// When the relay was notified of a host's departure.
struct Departure {
    /// When the relay counts as notified even if the entry was not sent to it.
    notified_at: Duration,
    /// When the host's entry was sent to the relay.
    sent_at: Option<Duration>,
}

impl Departure {
    fn known_since(&self) -> Duration {
        self.sent_at
            .map_or(self.notified_at, |sent_at| sent_at.min(self.notified_at))
    }
}

#[derive(Default)]
pub struct DepartingHosts {
    departures: BTreeMap<String, Departure>,
    /// Whether the discovery agent currently sends nothing.
    agent_is_silent: bool,
    /// When the current process's watch fell silent. A watch stays silent after the agent sends again.
    watch_silent_since: Option<Duration>,
    /// Number of polls that wait for their response, where the relays poll one discovery.
    pending_polls: usize,
}

impl Invariant for DepartingHosts {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let now = history.now;
        match observation {
            Observation::HostStatusListed {
                host, is_up: true, ..
            }
            | Observation::HostStatusSent { host, is_up: true } => {
                self.departures.remove(*host);
            }
            Observation::HostStatusListed {
                host,
                is_up: false,
                notified_at,
            } => self.record_listed(host, *notified_at),
            Observation::HostStatusSent { host, is_up: false } => self.record_sent(host, now),
            Observation::DiscoverySilent(true) => {
                self.agent_is_silent = true;
                self.watch_silent_since = Some(now);
            }
            Observation::DiscoverySilent(false) => {
                self.agent_is_silent = false;
                self.postpone_unsent(self.when_watch_works(now));
            }
            Observation::DiscoveryPollPending(_) if history.limits.discovery_is_pushed => {}
            Observation::DiscoveryPollPending(true) => self.pending_polls += 1,
            Observation::DiscoveryPollPending(false) => {
                self.pending_polls -= 1;
                self.postpone_unsent(now + DELAYED_POLL_TIME);
            }
            Observation::ProcessTerminated => self.record_process_end(now),
            Observation::NoticeEndpointDown { from, .. } => {
                self.postpone_unsent(*from + MOVED_DISCOVERY_TIME);
            }
            Observation::CallReceived { call, .. } => self.check_call(history, call, violations),
            _ => {}
        }
    }
}

impl DepartingHosts {
    /// The later of `at` and the time at which the relay detects that its watch is silent.
    fn when_watch_works(&self, at: Duration) -> Duration {
        self.watch_silent_since
            .map_or(at, |since| (since + SILENT_WATCH_TIMEOUT).max(at))
    }

    fn record_listed(&mut self, host: &str, notified_at: Duration) {
        let notified_at = self.when_watch_works(notified_at);
        self.departures.entry(host.into()).or_insert(Departure {
            notified_at,
            sent_at: None,
        });
    }

    fn record_sent(&mut self, host: &str, now: Duration) {
        let departure = self.departures.entry(host.into()).or_insert(Departure {
            notified_at: now,
            sent_at: None,
        });
        departure.sent_at.get_or_insert(now);
    }

    /// The next process opens its own watch, and entries that were sent just before may not have been saved.
    fn record_process_end(&mut self, now: Duration) {
        self.watch_silent_since = None;
        for departure in self.departures.values_mut() {
            departure.sent_at = departure
                .sent_at
                .filter(|sent_at| *sent_at + UNSAVED_BEFORE_KILL < now);
        }
    }

    /// Postpones to `at` the notification of entries that were not sent to the relay.
    fn postpone_unsent(&mut self, at: Duration) {
        let departures = self.departures.values_mut();
        departures
            .filter(|departure| departure.sent_at.is_none())
            .for_each(|departure| departure.notified_at = departure.notified_at.max(at));
    }

    fn check_call(&self, history: &History, call: &ReceivedCall, violations: &mut Violations) {
        let (host, id) = (&call.host.name, &call.message_id);
        let Some(departure) = self.departures.get(host) else {
            return;
        };
        let is_waiting = self.agent_is_silent || self.pending_polls > 0;
        if departure.sent_at.is_none() && is_waiting {
            return;
        }
        let known_since = departure.known_since();
        let grace = history.limits.drain_grace + IN_FLIGHT_TOLERANCE;
        if call.first_byte_at > known_since + grace {
            let late = (call.first_byte_at - known_since).as_millis();
            violations.report(
                "leaving",
                format!("{id} went to {host}, told {late} ms before"),
            );
        }
    }
}
