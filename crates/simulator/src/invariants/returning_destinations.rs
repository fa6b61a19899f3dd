//! `not pushed over`: a destination that has returned from an outage gets no more calls, from all relays together, than it has
//! capacity for while it warms up. Checked only where most of the calls come from relays that detected the outage.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::tolerance::UNSAVED_BEFORE_KILL;
use super::violation::Violations;
use crate::history::{CallId, CallOutcome, History, Observation, ReceivedCall};

/// Name of the invariant in reports.
const NAME: &str = "not pushed over";
/// After a shorter outage a destination has its full capacity at once.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// An outage of a destination.
struct Outage {
    /// When it began.
    from: Duration,
    /// When it ended; none while it lasts.
    until: Option<Duration>,
    /// Relays that detected it.
    noticed_by: BTreeSet<usize>,
}

/// A call of a relay.
struct RecentCall {
    at: Duration,
    relay: usize,
}

/// Number of calls that a returned destination can take.
struct Budget {
    /// Start of the window in which calls count.
    from: Duration,
    /// Maximum number of calls in the window.
    max_calls: f64,
}

/// The invariant. It is the only one that is checked for all relays together.
#[derive(Default)]
pub struct ReturningDestinations {
    outages: BTreeMap<u16, Outage>,
    /// By destination: the calls of the last overload window.
    recent: BTreeMap<u16, VecDeque<RecentCall>>,
}

impl ReturningDestinations {
    /// Checks an observation of relay number `relay`. `histories` yields those of all relays, in order.
    pub fn observe<'h>(
        &mut self,
        mut histories: impl Iterator<Item = &'h History>,
        relay: usize,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let Some(history) = histories.nth(relay) else {
            return;
        };
        match observation {
            Observation::DestinationOutage {
                destination,
                is_down: true,
            } => self.record_outage(history.now, *destination),
            Observation::DestinationOutage {
                destination,
                is_down: false,
            } => self.record_return(history.now, *destination),
            Observation::ProcessTerminated => self.record_process_end(history, relay),
            Observation::ResponseStarted {
                call,
                outcome: CallOutcome::Rejected { .. } | CallOutcome::MayHaveExecuted,
            } => self.record_failure(history, relay, call),
            Observation::CallConnectionClosed(id)
                if history
                    .call(id)
                    .is_some_and(|(_, call)| call.is_in_flight()) =>
            {
                self.record_failure(history, relay, id);
            }
            // A call of a message that was never submitted violates `call`.
            Observation::CallReceived { call, .. }
                if history.messages.contains_key(&call.message_id) =>
            {
                self.record_call(history, relay, call);
                self.check_call(history, call, violations);
            }
            _ => {}
        }
    }

    fn record_outage(&mut self, now: Duration, destination: u16) {
        let current = self.outages.get(&destination);
        let goes_on = current.is_some_and(|outage| outage.until.is_none());
        if !goes_on {
            let outage = Outage {
                from: now,
                until: None,
                noticed_by: BTreeSet::new(),
            };
            self.outages.insert(destination, outage);
        }
    }

    fn record_return(&mut self, now: Duration, destination: u16) {
        let current = self.outages.get_mut(&destination);
        let Some(outage) = current.filter(|outage| outage.until.is_none()) else {
            return;
        };
        if outage.from + MIN_OUTAGE > now {
            self.outages.remove(&destination);
        } else {
            outage.until = Some(now);
        }
    }

    /// An outage that a relay detected just before its process ended may not have been saved.
    fn record_process_end(&mut self, history: &History, relay: usize) {
        for outage in self.outages.values_mut() {
            let is_unsaved = outage
                .until
                .is_some_and(|until| until + UNSAVED_BEFORE_KILL >= history.now);
            if history.disk_was_full || is_unsaved {
                outage.noticed_by.remove(&relay);
            }
        }
    }

    /// Records that a relay detects an outage by a failed call.
    fn record_failure(&mut self, history: &History, relay: usize, id: &CallId) {
        let Some(message) = history.messages.get(&id.message_id) else {
            return;
        };
        let outage = self.outages.get_mut(&message.request.destination);
        if let Some(outage) = outage.filter(|outage| outage.until.is_none()) {
            outage.noticed_by.insert(relay);
        }
    }

    fn record_call(&mut self, history: &History, relay: usize, call: &ReceivedCall) {
        let at = call.first_byte_at;
        let recent = self.recent.entry(call.host.destination).or_default();
        recent.push_back(RecentCall { at, relay });
        let window = history.limits.overload_window;
        while recent.front().is_some_and(|first| first.at + window < at) {
            recent.pop_front();
        }
    }

    fn check_call(&self, history: &History, call: &ReceivedCall, violations: &mut Violations) {
        let destination = call.host.destination;
        let (Some(outage), Some(recent)) = (
            self.outages.get(&destination),
            self.recent.get(&destination),
        ) else {
            return;
        };
        let Some(budget) = budget(history, outage, destination, call.first_byte_at) else {
            return;
        };
        let calls = || recent.iter().filter(|call| call.at >= budget.from);
        let count = calls().count();
        let from_notified = calls()
            .filter(|call| outage.noticed_by.contains(&call.relay))
            .count();
        let max_calls = budget.max_calls;
        if count as f64 > max_calls && from_notified * 3 >= count * 2 {
            violations.report_of_all_relays(
                NAME,
                format!("{destination} got {count} calls where {max_calls:.1} are room"),
            );
        }
    }
}

/// The budget of a destination that has returned from an outage and is still warming up; none otherwise.
fn budget(history: &History, outage: &Outage, destination: u16, at: Duration) -> Option<Budget> {
    let limits = &history.limits;
    if outage.noticed_by.is_empty() {
        return None;
    }
    let returned_at = outage.until.filter(|returned_at| *returned_at <= at)?;
    let from = at.saturating_sub(limits.overload_window).max(returned_at);
    let warm_up_s = limits.warm_up_time.as_secs_f64().max(1e-3);
    let share = |at: Duration| {
        let progress = ((at - returned_at).as_secs_f64() / warm_up_s).min(1.0);
        limits.warm_up_initial_share + (1.0 - limits.warm_up_initial_share) * progress
    };
    if share(from) >= 1.0 {
        return None;
    }
    let capacity = limits.capacity.get(&destination)?;
    let mean_share = (share(from) + share(at)) / 2.0;
    // The budget covers a whole window, even if less time has passed since the return.
    let window_s = limits.overload_window.as_secs_f64();
    let expected = limits.overload_factor * capacity * mean_share * window_s;
    // Tolerance for random arrivals: two calls, and two standard deviations.
    Some(Budget {
        from,
        max_calls: expected + 2.0 + 2.0 * expected.sqrt(),
    })
}
