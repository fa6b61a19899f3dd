//! `still tried`: of the messages that a start recovers without a previous call, no more than half end without a call.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation, SubmittedRequest, TenantChange};

/// A message with less time left than this at the start may end before discovery has confirmed its hosts and the relay has
/// got to it.
const MIN_REMAINING_TIME: Duration = Duration::from_secs(2);
/// Up to this number of messages without a call are no evidence: one destination without hosts, or one Retry-After, may
/// explain all of them.
const MAX_UNEXPLAINED: usize = 4;
/// A message that ends less than this before its deadline counts as ended at the deadline.
const AT_DEADLINE: Duration = Duration::from_millis(100);

/// An outage of a destination.
struct Outage {
    from: Duration,
    /// When it ended; none while it lasts.
    until: Option<Duration>,
}

#[derive(Default)]
pub struct RecoveredMessages {
    /// Open messages that a start recovered without a previous call, each with the time of that start.
    pending: BTreeMap<String, Duration>,
    /// Number of such messages that were called.
    attempted: usize,
    /// Number of such messages that ended without a call and without an explanation.
    unattempted: usize,
    /// By host that was called: its destination.
    hosts: BTreeMap<String, u16>,
    /// Hosts that are not up by the last entry that discovery listed or sent.
    hosts_down: BTreeSet<String>,
    /// By destination: outages in order.
    outages: BTreeMap<u16, Vec<Outage>>,
    /// Tenants whose removal was requested, which ends all of their messages.
    removed_tenants: BTreeSet<String>,
    /// Whether the disk was full at some time, so that calls could not be made.
    disk_was_full: bool,
}

impl Invariant for RecoveredMessages {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::ProcessStarted(_) => self.record_start(history),
            Observation::DiskFull(true) => self.disk_was_full = true,
            Observation::CallReceived { call, .. } => {
                let host = &call.host;
                self.hosts.insert(host.name.clone(), host.destination);
                if self.pending.remove(&call.message_id).is_some() {
                    self.attempted += 1;
                }
            }
            Observation::HostStatusSent { host, is_up }
            | Observation::HostStatusListed { host, is_up, .. } => {
                if *is_up {
                    self.hosts_down.remove(*host);
                } else {
                    self.hosts_down.insert(host.to_string());
                }
            }
            Observation::TenantChangeRequested {
                tenant,
                change: TenantChange::Remove { .. },
                ..
            } => {
                self.removed_tenants.insert(tenant.to_string());
            }
            Observation::DestinationOutage {
                destination,
                is_down,
            } => self.record_outage(history.now, *destination, *is_down),
            Observation::NoticeReceived { id, .. } => self.check_notice(history, id, violations),
            _ => {}
        }
    }
}

impl RecoveredMessages {
    fn record_start(&mut self, history: &History) {
        let min_deadline = history.now + MIN_REMAINING_TIME;
        for id in &history.open {
            let is_uncalled = history.messages.get(id).is_some_and(|message| {
                message.accepted_at.is_some()
                    && message.calls.is_empty()
                    && message.request.deadline > min_deadline
            });
            if is_uncalled {
                self.pending.entry(id.clone()).or_insert(history.now);
            }
        }
    }

    fn record_outage(&mut self, now: Duration, destination: u16, is_down: bool) {
        let outages = self.outages.entry(destination).or_default();
        if is_down {
            outages.push(Outage {
                from: now,
                until: None,
            });
        } else if let Some(last) = outages.last_mut() {
            last.until = Some(now);
        }
    }

    fn check_notice(&mut self, history: &History, id: &str, violations: &mut Violations) {
        let Some(recovered_at) = self.pending.remove(id) else {
            return;
        };
        let message = history.messages.get(id);
        let request = message.map(|message| &message.request);
        let is_unexplained = request
            .is_some_and(|request| !self.explains_missing_call(history, request, recovered_at));
        if !is_unexplained {
            return;
        }
        self.unattempted += 1;
        if self.unattempted > MAX_UNEXPLAINED
            && self.unattempted > self.attempted + self.pending.len()
        {
            let (unattempted, attempted) = (self.unattempted, self.attempted);
            violations.report(
                "still tried",
                format!(
                    "{unattempted} that a start found untried were given up with no call, {attempted} were called"
                ),
            );
        }
    }

    /// Whether a recovered message may end now without a call.
    fn explains_missing_call(
        &self,
        history: &History,
        request: &SubmittedRequest,
        recovered_at: Duration,
    ) -> bool {
        // A message that ends at its deadline may not have been able to reach a destination that was down for most of the
        // remaining time, or only in a burst while the destination was warming up after its return. A tenant may also flood
        // destinations beyond their capacity. Neither explains an end before the deadline.
        let is_at_deadline = history.now + AT_DEADLINE >= request.deadline;
        let could_not_reach = is_at_deadline
            && (!history.limits.tenants.is_empty()
                || self.was_mostly_down(request.destination, recovered_at, history.now));
        self.disk_was_full
            || self.removed_tenants.contains(&request.tenant)
            || could_not_reach
            || !self.has_host(request.destination)
    }

    /// Whether a destination has a host that may be called, by what the relay was notified of.
    fn has_host(&self, destination: u16) -> bool {
        let mut hosts = self.hosts.iter().filter(|(_, at)| **at == destination);
        hosts.any(|(host, _)| !self.hosts_down.contains(host))
    }

    /// Whether a destination was down for more than half of a span.
    fn was_mostly_down(&self, destination: u16, from: Duration, until: Duration) -> bool {
        let outages = self.outages.get(&destination).into_iter().flatten();
        let down_times = outages.map(|outage| {
            let end = outage.until.unwrap_or(until).min(until);
            end.saturating_sub(outage.from.max(from))
        });
        down_times.sum::<Duration>() * 2 > until - from
    }
}
