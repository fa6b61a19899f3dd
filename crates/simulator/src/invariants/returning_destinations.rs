//! `not pushed over`: a destination that is back from an outage gets no more calls than it has capacity for while it warms up, from
//! all relays together, where most of it comes from those that noticed the outage.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::tolerance::UNSAVED_BEFORE_KILL;
use super::violation::Violations;
use crate::history::{CallId, CallOutcome, History, Observation, ReceivedCall};

/// Name of the invariant in reports.
const NAME: &str = "not pushed over";
/// After a shorter outage a destination has its whole capacity.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// An outage of a destination.
struct Outage {
    /// When all of its hosts were at fault.
    from: Duration,
    /// When that ended.
    until: Option<Duration>,
    /// Relays that noticed it.
    noticed_by: BTreeSet<usize>,
}

/// A call, from a relay of this number.
struct RecentCall {
    at: Duration,
    relay: usize,
}

/// What a destination that is back takes.
struct Budget {
    /// Calls count from then on.
    from: Duration,
    /// Number of calls.
    max_calls: f64,
}

/// The invariant, the only one that is about all relays together.
#[derive(Default)]
pub struct ReturningDestinations {
    outages: BTreeMap<u16, Outage>,
    /// By destination: the calls of the last overload window.
    recent: BTreeMap<u16, VecDeque<RecentCall>>,
}

impl ReturningDestinations {
    /// Looks at what passed round the relay of a number; `histories` has those of all relays, in order.
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
            // One that nobody submitted is a violation of its own.
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

    /// What a relay noticed just before its process ended may not have been saved.
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

    /// A relay notices an outage by a call that fails.
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

/// What a destination takes that has returned from an outage and still warms up.
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
    // The budget is that of a whole window, also while less has passed.
    let window_s = limits.overload_window.as_secs_f64();
    let expected = limits.overload_factor * capacity * mean_share * window_s;
    // Room for chance: two calls, and two standard deviations of what comes at random.
    Some(Budget {
        from,
        max_calls: expected + 2.0 + 2.0 * expected.sqrt(),
    })
}
