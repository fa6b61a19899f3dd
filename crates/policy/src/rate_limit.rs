//! Advertised limits, pacing, backoff after rejections, and the recovery ramp.

use crate::route::{AdvertisedLimit, Route};
use crate::state::DeliveryPolicy;
use crate::tuning::{
    jitter_factor, AVERAGE_WEIGHT, BACKOFF_DIVISOR, BACKOFF_MULTIPLIER, BEST_RATE_DECAY,
    EXHAUSTED_ALLOWANCE, EXHAUSTED_USAGE_FACTOR, FIRST_BACKOFF_MAX_SECONDS,
    FIRST_BACKOFF_MIN_SECONDS, LIMIT_WEIGHT_FACTOR, LOW_ALLOWANCE, LOW_USAGE_FACTOR, MAX_BACKOFF,
    MAX_BACKOFF_FACTOR, MAX_BUSY_REPLICAS, MAX_RATE, MAX_USAGE_FACTOR, MIN_OUTAGE, MIN_RATE,
    OPEN_DURATION, RATE_GROWTH, REJECTION_DECREASE, SECOND, USAGE_FACTOR_GROWTH,
};
use crate::types::{HostId, Micros, ReportField, RouteKey, WeightSource};

impl AdvertisedLimit {
    /// Calls a second that this replica may use; infinite where the destination reports no allowance.
    fn replica_rate(&self, replicas: f64) -> f64 {
        let limit = self
            .per_second
            .filter(|_| self.remaining_allowance.is_some());
        limit.map_or(f64::INFINITY, |limit| limit / replicas * self.usage_factor)
    }

    /// Takes over what is left of the allowance. Where rejected calls use it up too, a fleet that asks for too much gets
    /// nothing, and reports come late to those that send little: the factor falls at once and rises slowly.
    fn record_allowance(&mut self, left: f64) {
        self.remaining_allowance = Some(left);
        self.usage_factor = if left < EXHAUSTED_ALLOWANCE {
            EXHAUSTED_USAGE_FACTOR
        } else if left < LOW_ALLOWANCE {
            self.usage_factor.min(LOW_USAGE_FACTOR)
        } else {
            let growth = 1.0 + USAGE_FACTOR_GROWTH * (left - LOW_ALLOWANCE);
            (self.usage_factor.max(LOW_USAGE_FACTOR) * growth).min(MAX_USAGE_FACTOR)
        };
    }
}

impl Route {
    /// Calls a second that this replica may surely use: its part of the limit, or its own best rate.
    fn fair_rate(&self, replicas: f64) -> f64 {
        let best = self.pacing.best_rate;
        let part =
            |limit: f64| (limit / replicas.min(MAX_BUSY_REPLICAS)).max(best.min(limit / 2.0));
        self.limit.per_second.map_or(best, part).max(MIN_RATE)
    }

    /// Whether this replica's even part of the limit is in use, so that the limit is the likely cause of a rejection.
    pub(crate) fn uses_even_share(&self, now: Micros, replicas: f64) -> bool {
        self.success_rate(now) * replicas.min(MAX_BUSY_REPLICAS) * 2.0
            > self.limit.per_second.unwrap_or(0.0)
    }

    /// Takes over a limit for all replicas by its weight; a wild one is ignored, and the first one sets the rate.
    pub(crate) fn record_limit(&mut self, limit: f64, weight: f64, replicas: f64) {
        if !(MIN_RATE..=MAX_RATE).contains(&limit) {
            return;
        }
        if self.limit.per_second.is_none() {
            self.pacing.rate = self
                .pacing
                .rate
                .min(limit / replicas.min(MAX_BUSY_REPLICAS));
        }
        let known = self.limit.per_second.unwrap_or(limit);
        self.limit.per_second =
            Some(known + weight * (limit.clamp(known / 2.0, known * 2.0) - known));
    }

    /// Longest backoff by the limit: the interval of an even part, and some more.
    fn backoff_bound(&self, replicas: f64) -> Micros {
        (self.limit.even_interval(replicas) * MAX_BACKOFF_FACTOR * SECOND as f64) as Micros
    }

    /// Backs off after a rejection, and cuts rate and concurrency.
    pub(crate) fn lengthen_backoff(&mut self, now: Micros, replicas: f64, chance: f64) {
        let (fair, even) = (self.fair_rate(replicas), self.limit.even_interval(replicas));
        let first = (even.clamp(FIRST_BACKOFF_MIN_SECONDS, FIRST_BACKOFF_MAX_SECONDS)
            * SECOND as f64) as Micros;
        let longest = self
            .backoff_bound(replicas)
            .clamp(OPEN_DURATION, MAX_BACKOFF)
            .max(first);
        let success_rate = self.success_rate(now);
        let pacing = &mut self.pacing;
        pacing.backoff = (pacing.backoff * BACKOFF_MULTIPLIER).clamp(first, longest);
        let rate = pacing.rate.min(success_rate.max(fair));
        pacing.rate = (rate * REJECTION_DECREASE).max(fair / MAX_BACKOFF_FACTOR);
        pacing.concurrency_limit = (pacing.concurrency_limit * REJECTION_DECREASE).max(1.0);
        // Replicas that were given the same end of a wait are spread over a whole backoff.
        let spread = if self.retry_after_until > now {
            chance
        } else {
            jitter_factor(chance)
        };
        self.backoff_until =
            now.max(self.retry_after_until) + (pacing.backoff as f64 * spread) as Micros;
    }

    /// Shortens the backoff after a success.
    pub(crate) fn shorten_backoff(&mut self, now: Micros, replicas: f64) {
        self.pacing.backoff =
            (self.pacing.backoff / BACKOFF_DIVISOR).min(self.backoff_bound(replicas));
        self.backoff_until = now + self.pacing.backoff;
    }

    /// Raises rate and concurrency after a success.
    pub(crate) fn raise_rate(&mut self, now: Micros, replicas: f64, weight_source: WeightSource) {
        let tolerance = if weight_source == WeightSource::Rough {
            1.5
        } else {
            1.1
        };
        let ceiling = self
            .limit
            .per_second
            .map_or(f64::INFINITY, |limit| limit * tolerance);
        let (fair, success_rate) = (self.fair_rate(replicas), self.success_rate(now));
        let pacing = &mut self.pacing;
        pacing.concurrency_limit += 1.0 / pacing.concurrency_limit;
        pacing.rate = (pacing.rate + RATE_GROWTH * fair.max(1.0)).min(ceiling);
        pacing.best_rate = (pacing.best_rate * BEST_RATE_DECAY).max(success_rate);
    }
}

impl DeliveryPolicy {
    /// Takes over the load report of an answer.
    pub(crate) fn record_load_report(&mut self, host: HostId, values: &[f32]) {
        let left = self
            .settings
            .reported_value(ReportField::AllowanceLeft, values);
        let limit = self
            .settings
            .reported_value(ReportField::LimitPerSecond, values)
            .unwrap_or(0.0);
        let Some(route) = self
            .route_of(host)
            .and_then(|key| self.routes.get_mut(&key))
        else {
            return;
        };
        // A limit that is far from the known one has changed; noise is small.
        let known = route.limit.per_second.unwrap_or(limit).max(MIN_RATE);
        let weight =
            (LIMIT_WEIGHT_FACTOR * (limit - known).abs() / known).clamp(AVERAGE_WEIGHT, 1.0);
        route.record_limit(limit, weight, self.replicas);
        match left.filter(|_| limit > 0.0) {
            Some(left) => route.limit.record_allowance(left),
            None => route.limit.remaining_allowance = None,
        }
    }

    /// Calls a second to a route back from an outage: its capacity grows while it warms up, and each replica takes its
    /// part. Infinite if there was no outage. Where failures were none, messages are held back for the whole warm-up.
    pub(crate) fn recovery_ramp(&self, route: &Route) -> f64 {
        let recovery = &route.recovery;
        if !recovery.is_active {
            return f64::INFINITY;
        }
        let rules = &self.settings.rules;
        // Messages that came during the outage are this replica's part of what all replicas have queued.
        let down_until = recovery.recovered_at.unwrap_or(self.now);
        let down = down_until
            .saturating_sub(recovery.down_since)
            .max(MIN_OUTAGE);
        let arrivals = route.waiting_messages as f64 * SECOND as f64 / down as f64;
        let capacity = route
            .limit
            .per_second
            .unwrap_or(route.pacing.best_rate * self.replicas)
            .max(1.0);
        let part = (capacity / self.replicas).max(arrivals.min(capacity));
        let warm_up = rules.warm_up.max(1) as f64;
        let warmed = recovery
            .recovered_at
            .map_or(0.0, |at| (self.now - at) as f64 / warm_up)
            .min(1.0);
        let share = rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warmed;
        rules.overload_factor * part * share
    }

    /// Refills the token bucket of a route and returns its rate in calls a second.
    pub(crate) fn refill(&mut self, key: RouteKey) -> f64 {
        let (now, warm_up) = (self.now, self.settings.rules.warm_up);
        let ramp = self
            .routes
            .get(&key)
            .map_or(0.0, |route| self.recovery_ramp(route));
        let Some(route) = self.routes.get_mut(&key) else {
            return 0.0;
        };
        if route
            .recovery
            .recovered_at
            .is_some_and(|at| at + warm_up <= now)
        {
            (route.recovery.is_active, route.recovery.recovered_at) = (false, None);
        }
        let rate = route
            .pacing
            .rate
            .min(ramp)
            .min(route.limit.replica_rate(self.replicas))
            .max(route.urgent_rate);
        let depth = if ramp.is_finite() {
            1.0
        } else {
            (rate * 0.6).max(1.0)
        };
        // A wait fills no bucket: all replicas that were given its end would come at once.
        route
            .pacing
            .bucket
            .refill(now, route.retry_after_until, rate, depth);
        rate
    }
}
