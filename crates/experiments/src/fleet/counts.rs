//! Event counts over all relays of a fleet, by destination and interval.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use super::call_log::{AttemptOutcome, LogEvent, LogLine, TrafficEvent};
use super::departures::Departures;

/// A destination has recovered when it serves at least this share of its listed rate.
const RECOVERED_SHARE: f64 = 0.9;
const MS_PER_SECOND: f64 = 1000.0;

/// Counts of one interval at one destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct IntervalCounts {
    pub(super) arrived: u64,
    pub(super) restored: u64,
    pub(super) abandoned: u64,
    pub(super) calls: u64,
    /// Of the calls, those that a half-open circuit breaker let through.
    pub(super) probes: u64,
    pub(super) delivered: u64,
    pub(super) rejected: u64,
    /// Of the rejected calls, those with Retry-After.
    pub(super) with_retry_after: u64,
    pub(super) failed: u64,
    pub(super) connections_opened: u64,
    /// Mean of the remaining allowance that hosts reported, from 0 to 1.
    pub(super) allowance: Mean,
}

/// A mean value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Mean {
    pub(super) sum: f64,
    pub(super) count: u64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    /// The mean, or 0 if there are no values.
    pub(super) fn value(self) -> f64 {
        match self.count {
            0 => 0.0,
            count => self.sum / count as f64,
        }
    }
}

impl AddAssign<&IntervalCounts> for IntervalCounts {
    fn add_assign(&mut self, other: &IntervalCounts) {
        self.arrived += other.arrived;
        self.restored += other.restored;
        self.abandoned += other.abandoned;
        self.calls += other.calls;
        self.probes += other.probes;
        self.delivered += other.delivered;
        self.rejected += other.rejected;
        self.with_retry_after += other.with_retry_after;
        self.failed += other.failed;
        self.connections_opened += other.connections_opened;
        self.allowance.sum += other.allowance.sum;
        self.allowance.count += other.allowance.count;
    }
}

impl IntervalCounts {
    fn record(&mut self, event: &TrafficEvent<'_>) {
        match event {
            TrafficEvent::MessageArrived => self.arrived += 1,
            TrafficEvent::MessageRestored => self.restored += 1,
            TrafficEvent::MessageAbandoned => self.abandoned += 1,
            TrafficEvent::ConnectionOpened => self.connections_opened += 1,
            TrafficEvent::AttemptSent { is_probe, .. } => {
                self.calls += 1;
                self.probes += u64::from(*is_probe);
            }
            TrafficEvent::AttemptEnded { outcome, allowance } => {
                self.record_outcome(*outcome);
                if let Some(allowance) = allowance {
                    self.allowance.add(*allowance);
                }
            }
            TrafficEvent::Other => {}
        }
    }

    fn record_outcome(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Delivered => self.delivered += 1,
            AttemptOutcome::Rejected { has_retry_after } => {
                self.rejected += 1;
                self.with_retry_after += u64::from(has_retry_after);
            }
            AttemptOutcome::Failed => self.failed += 1,
        }
    }
}

/// Counts of a whole fleet.
#[derive(Debug)]
pub(super) struct FleetCounts {
    /// Length of an interval, in milliseconds.
    pub(super) interval_ms: u64,
    /// Start of the first interval, in milliseconds. Unless set before, it is the time of the first recorded line.
    pub(super) start_ms: Option<u64>,
    /// By destination, then by the number of the interval.
    pub(super) destinations: BTreeMap<u16, BTreeMap<u64, IntervalCounts>>,
    /// Calls per second that each destination accepts, according to the first listing of one of its hosts.
    pub(super) listed_rates: BTreeMap<u16, f64>,
    /// Number of hosts in all host lists that relays received.
    pub(super) host_listings: u64,
    pub(super) process_starts: u64,
    pub(super) departures: Departures,
}

impl FleetCounts {
    /// Creates empty counts, for intervals of `interval_ms` milliseconds.
    pub(super) fn new(interval_ms: u64) -> Self {
        FleetCounts {
            interval_ms,
            start_ms: None,
            destinations: BTreeMap::new(),
            listed_rates: BTreeMap::new(),
            host_listings: 0,
            process_starts: 0,
            departures: Departures::default(),
        }
    }

    /// Counts a line of a log. Lines that are not part of the call log are ignored.
    pub(super) fn record_line(&mut self, line: &str) {
        let Some(LogLine { time_ms, event }) = LogLine::parse(line) else {
            return;
        };
        let start_ms = *self.start_ms.get_or_insert(time_ms);
        match event {
            LogEvent::ProcessStarted => {
                self.process_starts += 1;
                self.departures.process_started();
            }
            LogEvent::HostListed(listing) => {
                self.host_listings += 1;
                self.departures.host_listed(time_ms, &listing);
                if let Some(weight) = listing.weight {
                    self.listed_rates
                        .entry(listing.destination)
                        .or_insert(weight);
                }
            }
            LogEvent::Traffic { destination, event } => {
                if let TrafficEvent::AttemptSent { host, .. } = event {
                    self.departures.attempt_sent(time_ms, host);
                }
                let interval = time_ms.saturating_sub(start_ms) / self.interval_ms;
                self.destinations
                    .entry(destination)
                    .or_default()
                    .entry(interval)
                    .or_default()
                    .record(&event);
            }
            LogEvent::Unrecognized => {}
        }
    }

    /// The intervals of a destination that have any events, with their numbers.
    pub(super) fn intervals_of(
        &self,
        destination: u16,
    ) -> impl Iterator<Item = (u64, &IntervalCounts)> {
        self.destinations
            .get(&destination)
            .into_iter()
            .flatten()
            .map(|(number, counts)| (*number, counts))
    }

    /// The counts summed over all destinations and intervals.
    pub(super) fn totals(&self) -> IntervalCounts {
        let mut totals = IntervalCounts::default();
        for counts in self.destinations.values().flat_map(BTreeMap::values) {
            totals += counts;
        }
        totals
    }

    /// The durations of a destination's recoveries, in milliseconds: from the last interval with calls but no delivery to
    /// the next one that serves [`RECOVERED_SHARE`] of the listed rate.
    pub(super) fn recovery_times_ms(&self, destination: u16) -> Vec<u64> {
        let rate = self.listed_rates.get(&destination).copied().unwrap_or(0.0);
        let calls_per_interval = rate * self.interval_ms as f64 / MS_PER_SECOND;
        let has_recovered = |counts: &IntervalCounts| {
            calls_per_interval > 0.0
                && counts.delivered as f64 >= RECOVERED_SHARE * calls_per_interval
        };
        let mut times = Vec::new();
        let mut outage_end = None;
        for (interval, counts) in self.intervals_of(destination) {
            if counts.delivered == 0 && counts.calls > 0 {
                outage_end = Some(interval);
            } else if let Some(end) = outage_end.filter(|_| has_recovered(counts)) {
                times.push((interval - end) * self.interval_ms);
                outage_end = None;
            }
        }
        times
    }
}
