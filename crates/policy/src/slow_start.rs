//! Slow start: the rate at which this replica may call a destination that returns from an outage, and how many of the
//! messages that a restart recovered it can call at that rate.
//!
//! All calls of a route, including probes, retries and those with recovered messages, take a token of its bucket, which
//! refills at this rate. Together, the replicas stay within the destination's budget: the overload factor times its
//! present capacity. Each has an even share of it, or more if its backlog shows that it receives most of the messages.

use crate::route::Route;
use crate::state::DeliveryPolicy;
use crate::tuning::{
    ALLOWANCE_USE, COVERED_DEVIATIONS, MAX_PHASE_VARIANCE, MIN_BACKLOG_RATIO, MIN_OUTAGE, SECOND,
    STALL_RESERVE,
};
use crate::types::{MessageId, Micros, PlatformRules, RouteKey};

/// The rate of a route during an outage and while its destination warms up, in calls per second.
struct SlowStart {
    /// Rate if the destination had its full capacity.
    full_rate: f64,
    /// Share of its capacity that the destination has now, from 0 to 1.
    capacity_share: f64,
    /// Growth of that share in a second; zero during the outage.
    share_growth: f64,
    /// Part of the platform's allowance for chance that recovered messages may use, in calls per second.
    allowance_rate: f64,
}

impl SlowStart {
    /// The present rate. It uses the allowance as far as recovered messages need `needed_rate`.
    fn rate(&self, needed_rate: f64) -> f64 {
        let nominal = self.full_rate * self.capacity_share;
        nominal + self.allowance_rate.min((needed_rate - nominal).max(0.0))
    }

    /// Number of calls in the next `span`, with the allowance.
    fn calls_within(&self, span: Micros) -> f64 {
        let seconds = span as f64 / SECOND as f64;
        let mean_share = (self.capacity_share + self.share_growth * seconds / 2.0).min(1.0);
        (self.full_rate * mean_share + self.allowance_rate) * seconds
    }
}

impl Route {
    /// Messages per second that arrive for this route at this replica, estimated from those that wait for it. If this
    /// process has called the destination before the outage, they have arrived since then. Otherwise they may be older,
    /// but not older than messages get.
    fn backlog_rate(&self, now: Micros) -> f64 {
        let lifetime = self.waiting_lifetime.max(SECOND);
        let span = match self.recovery.prior_rate {
            Some(_) => lifetime.min(self.outage_duration(now)),
            None => lifetime,
        };
        self.waiting_messages as f64 * SECOND as f64 / span as f64
    }

    /// Whether the destination has warmed up and the calls without the rate of the slow start cannot overload it.
    ///
    /// A span of calls that began while the destination warmed up may still become an overload. A process that started
    /// during the outage has not adapted its own rate to those of the other replicas, so that their sum may be too high.
    pub(crate) fn is_slow_start_over(
        &self,
        rules: &PlatformRules,
        slow_start_rate: f64,
        now: Micros,
    ) -> bool {
        let Some(recovered_at) = self.recovery.recovered_at else {
            return false;
        };
        let warmed_up_at = recovered_at + rules.warm_up;
        if now < warmed_up_at {
            return false;
        }
        let has_adapted_rate = self.recovery.prior_rate.is_some();
        has_adapted_rate
            || self.pacing.rate <= slow_start_rate
            || now >= warmed_up_at + rules.overload_duration
    }

    fn outage_duration(&self, now: Micros) -> Micros {
        let down_until = self.recovery.recovered_at.unwrap_or(now);
        down_until
            .saturating_sub(self.recovery.down_since)
            .max(MIN_OUTAGE)
    }
}

/// Calls beyond `nominal` ones that the platform allows for chance in a span of the overload rule. It allows more where
/// few calls are nominal.
fn chance_allowance(nominal: f64) -> f64 {
    2.0 * nominal.sqrt() + 2.0
}

/// Share of its capacity that a destination has at `now`, from 0 to 1.
fn capacity_share(rules: &PlatformRules, recovered_at: Option<Micros>, now: Micros) -> f64 {
    let warm_up = rules.warm_up.max(1) as f64;
    let warmed_up = match recovered_at {
        Some(at) => (now.saturating_sub(at) as f64 / warm_up).min(1.0),
        None => 0.0,
    };
    rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warmed_up
}

impl DeliveryPolicy {
    /// Calls per second to a route that recovers from an outage: this replica's share of the budget, which grows while
    /// the destination warms up. Infinite if there was no outage. Failures that are wrongly taken for an outage
    /// therefore hold back messages for the whole warm-up.
    pub(crate) fn recovery_ramp(&self, route: &Route) -> f64 {
        self.slow_start(route).map_or(f64::INFINITY, |slow_start| {
            slow_start.rate(route.urgent_rate)
        })
    }

    /// The slow start of a route; `None` if there was no outage.
    fn slow_start(&self, route: &Route) -> Option<SlowStart> {
        let recovery = &route.recovery;
        if !recovery.is_active {
            return None;
        }
        let rules = &self.settings.rules;
        let capacity = self.full_capacity(route);
        let replica_capacity = self.replica_capacity(route, capacity);
        let capacity_share = capacity_share(rules, recovery.recovered_at, self.now);
        let warm_up_seconds = rules.warm_up.max(1) as f64 / SECOND as f64;
        let share_growth = match recovery.recovered_at {
            Some(_) => (1.0 - rules.initial_capacity_share) / warm_up_seconds,
            None => 0.0,
        };
        let allowance_rate =
            self.allowance_rate(capacity * capacity_share, replica_capacity / capacity);
        Some(SlowStart {
            full_rate: rules.overload_factor * replica_capacity,
            capacity_share,
            share_growth,
            allowance_rate,
        })
    }

    /// Calls per second that the destination accepts from all replicas once it has warmed up. Without a known limit, it
    /// is assumed to accept what all replicas receive.
    fn full_capacity(&self, route: &Route) -> f64 {
        let best_rate = route.pacing.best_rate;
        let own_rate = match route.recovery.prior_rate {
            Some(_) => best_rate,
            None => best_rate.max(route.backlog_rate(self.now)),
        };
        let limit = route.limit.per_second;
        limit.unwrap_or(own_rate * self.replicas).max(1.0)
    }

    /// This replica's part of that capacity, in calls per second: an even one, or what its backlog shows that it
    /// receives. A backlog beyond an even part may also mean that all replicas receive more than the destination
    /// accepts. It therefore counts only as far as this replica's calls have succeeded before the outage, or if that is
    /// unknown, only if an overload of the whole fleet is an unlikely explanation.
    fn replica_capacity(&self, route: &Route, capacity: f64) -> f64 {
        let even = capacity / self.replicas;
        let backlog_rate = route.backlog_rate(self.now).min(capacity);
        let own = match route.recovery.prior_rate {
            Some(prior) => backlog_rate.min(prior),
            None if backlog_rate > MIN_BACKLOG_RATIO * even => backlog_rate,
            None => even,
        };
        own.max(even)
    }

    /// Part of the allowance for chance that this replica may use for recovered messages, in calls per second. The rest
    /// covers the deviations of a sum of evenly spaced calls: each replica that calls may have up to one call more or
    /// less in a span than its rate.
    fn allowance_rate(&self, present_capacity: f64, replica_share: f64) -> f64 {
        let rules = &self.settings.rules;
        let seconds = rules.overload_duration as f64 / SECOND as f64;
        if seconds <= 0.0 {
            return 0.0;
        }
        let nominal = rules.overload_factor * present_capacity * seconds;
        let callers = 1.0 / replica_share;
        let deviation = (callers * MAX_PHASE_VARIANCE).min(nominal).sqrt();
        let unused = chance_allowance(nominal) - COVERED_DEVIATIONS * deviation;
        ALLOWANCE_USE * replica_share * unused.max(0.0) / seconds
    }

    /// Number of recovered messages among `ids`, which are sorted by deadline, that cannot be called in time while the
    /// destination warms up. Giving up the first ones, which have the least time left, leaves time for the others.
    pub(crate) fn unreachable_count(&self, ids: &[MessageId], keys: &[RouteKey]) -> usize {
        let routes = keys.iter().filter_map(|key| self.routes.get(key));
        let slow_starts: Option<Vec<SlowStart>> =
            routes.map(|route| self.slow_start(route)).collect();
        let Some(slow_starts) = slow_starts else {
            return 0;
        };
        let mut unreachable = 0;
        for (index, id) in ids.iter().enumerate() {
            let deadline = self.queue[id].message.deadline;
            let time_left = deadline.saturating_sub(self.now + STALL_RESERVE);
            let calls: f64 = slow_starts
                .iter()
                .map(|slow_start| slow_start.calls_within(time_left))
                .sum();
            // A call that is due now takes a token that has accumulated before.
            let reachable = calls.floor() as usize + usize::from(time_left > 0);
            unreachable = unreachable.max((index + 1).saturating_sub(reachable));
        }
        unreachable
    }
}
