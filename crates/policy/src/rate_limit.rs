//! Advertised limits, pacing, and backoff after rejections.

use crate::rolling_window::CallResult;
use crate::route::{AdvertisedLimit, Route};
use crate::state::DeliveryPolicy;
use crate::tuning::{
    jitter_factor, AVERAGE_WEIGHT, BACKOFF_DIVISOR, BACKOFF_MULTIPLIER, BEST_RATE_DECAY,
    BUCKET_DEPTH_SECONDS, EXHAUSTED_ALLOWANCE, EXHAUSTED_USAGE_FACTOR, FIRST_BACKOFF_MAX_SECONDS,
    FIRST_BACKOFF_MIN_SECONDS, LIMIT_TOLERANCE, LIMIT_WEIGHT_FACTOR, LOW_ALLOWANCE,
    LOW_USAGE_FACTOR, MAX_BACKOFF, MAX_BACKOFF_FACTOR, MAX_BUSY_REPLICAS, MAX_LIMIT_STEP, MAX_RATE,
    MAX_USAGE_FACTOR, MIN_RATE, OPEN_DURATION, RATE_GROWTH, RATE_SPAN_SECONDS, REJECTION_DECREASE,
    ROUGH_LIMIT_TOLERANCE, SECOND, USAGE_FACTOR_GROWTH,
};
use crate::types::{HostId, Micros, ReportField, RouteKey, WeightSource};

impl AdvertisedLimit {
    /// Seconds between two calls of a replica if all replicas use the limit evenly.
    pub(crate) fn even_interval(&self, replicas: f64) -> f64 {
        replicas / self.per_second.unwrap_or(replicas)
    }

    /// Calls per second that this replica may make; infinite if the destination reports no allowance.
    fn replica_rate(&self, replicas: f64) -> f64 {
        match (self.per_second, self.remaining_allowance) {
            (Some(limit), Some(_)) => limit / replicas * self.usage_factor,
            _ => f64::INFINITY,
        }
    }

    /// Records the reported share of the allowance that is left and adapts the usage factor, which falls at once and
    /// rises slowly. If rejected calls also consume the allowance, a fleet that exceeds it gets nothing accepted, and
    /// replicas that send little receive reports late.
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
    /// Successes per second of this replica over the last [`RATE_SPAN_SECONDS`].
    pub(crate) fn success_rate(&self, now: Micros) -> f64 {
        let span = RATE_SPAN_SECONDS * SECOND;
        self.breaker
            .window
            .count_within(CallResult::Success, span, now) as f64
            / RATE_SPAN_SECONDS as f64
    }

    /// Calls per second that this replica can safely make: its share of the limit, or its own best rate.
    fn fair_rate(&self, replicas: f64) -> f64 {
        let best = self.pacing.best_rate;
        let rate = match self.limit.per_second {
            Some(limit) => (limit / replicas.min(MAX_BUSY_REPLICAS)).max(best.min(limit / 2.0)),
            None => best,
        };
        rate.max(MIN_RATE)
    }

    /// Whether this replica uses more than half of its even share of the limit, so that the limit is the likely cause
    /// of a rejection. At most [`MAX_BUSY_REPLICAS`] replicas share the limit here.
    pub(crate) fn uses_even_share(&self, now: Micros, replicas: f64) -> bool {
        let limit = self.limit.per_second.unwrap_or(0.0);
        self.success_rate(now) * replicas.min(MAX_BUSY_REPLICAS) * 2.0 > limit
    }

    /// Averages a limit for all replicas into the known one with a weight from 0 to 1. Limits outside of the accepted
    /// bounds are ignored. The first limit also bounds the rate.
    pub(crate) fn record_limit(&mut self, limit: f64, weight: f64, replicas: f64) {
        if !(MIN_RATE..=MAX_RATE).contains(&limit) {
            return;
        }
        if self.limit.per_second.is_none() {
            let share = limit / replicas.min(MAX_BUSY_REPLICAS);
            self.pacing.rate = self.pacing.rate.min(share);
        }
        let known = self.limit.per_second.unwrap_or(limit);
        let bounded = limit.clamp(known / MAX_LIMIT_STEP, known * MAX_LIMIT_STEP);
        self.limit.per_second = Some(known + weight * (bounded - known));
    }

    /// Longest backoff that the limit permits: [`MAX_BACKOFF_FACTOR`] times the interval of an even share.
    fn backoff_bound(&self, replicas: f64) -> Micros {
        (self.limit.even_interval(replicas) * MAX_BACKOFF_FACTOR * SECOND as f64) as Micros
    }

    /// Backoff after a first rejection: the interval of an even share, within its bounds.
    fn first_backoff(&self, replicas: f64) -> Micros {
        let seconds = self
            .limit
            .even_interval(replicas)
            .clamp(FIRST_BACKOFF_MIN_SECONDS, FIRST_BACKOFF_MAX_SECONDS);
        (seconds * SECOND as f64) as Micros
    }

    /// Lengthens the backoff after a rejection and reduces rate and concurrency. `chance`, a random number from 0 to 1,
    /// spreads the backoffs of the replicas.
    pub(crate) fn lengthen_backoff(&mut self, now: Micros, replicas: f64, chance: f64) {
        let first = self.first_backoff(replicas);
        let longest = self
            .backoff_bound(replicas)
            .clamp(OPEN_DURATION, MAX_BACKOFF)
            .max(first);
        let fair = self.fair_rate(replicas);
        let success_rate = self.success_rate(now);
        let pacing = &mut self.pacing;
        pacing.backoff = (pacing.backoff * BACKOFF_MULTIPLIER).clamp(first, longest);
        let rate = pacing.rate.min(success_rate.max(fair));
        pacing.rate = (rate * REJECTION_DECREASE).max(fair / MAX_BACKOFF_FACTOR);
        pacing.concurrency_limit = (pacing.concurrency_limit * REJECTION_DECREASE).max(1.0);
        // The end of a Retry-After may be the same for many replicas: their calls are spread over a whole backoff.
        let spread = if self.retry_after_until > now {
            chance
        } else {
            jitter_factor(chance)
        };
        let backoff = (pacing.backoff as f64 * spread) as Micros;
        self.backoff_until = now.max(self.retry_after_until) + backoff;
    }

    /// Shortens the backoff after a success.
    pub(crate) fn shorten_backoff(&mut self, now: Micros, replicas: f64) {
        let shortened = self.pacing.backoff / BACKOFF_DIVISOR;
        self.pacing.backoff = shortened.min(self.backoff_bound(replicas));
        self.backoff_until = now + self.pacing.backoff;
    }

    /// Raises the rate, up to the limit with its tolerance, and the concurrency limit after a success.
    pub(crate) fn raise_rate(&mut self, now: Micros, replicas: f64, weight_source: WeightSource) {
        let tolerance = match weight_source {
            WeightSource::Rough => ROUGH_LIMIT_TOLERANCE,
            WeightSource::Absent | WeightSource::Nominal => LIMIT_TOLERANCE,
        };
        let ceiling = self
            .limit
            .per_second
            .map_or(f64::INFINITY, |limit| limit * tolerance);
        let fair = self.fair_rate(replicas);
        let success_rate = self.success_rate(now);
        let pacing = &mut self.pacing;
        pacing.concurrency_limit += 1.0 / pacing.concurrency_limit;
        pacing.rate = (pacing.rate + RATE_GROWTH * fair.max(1.0)).min(ceiling);
        pacing.best_rate = (pacing.best_rate * BEST_RATE_DECAY).max(success_rate);
    }
}

impl DeliveryPolicy {
    /// Records the limit and the allowance of a load report.
    pub(crate) fn record_load_report(&mut self, host: HostId, values: &[f32]) {
        let settings = &self.settings;
        let left = settings.reported_value(ReportField::AllowanceLeft, values);
        let limit = settings.reported_value(ReportField::LimitPerSecond, values);
        let limit = limit.unwrap_or(0.0);
        let key = self.route_of(host);
        let Some(route) = key.and_then(|key| self.routes.get_mut(&key)) else {
            return;
        };
        // Noise is small: the further a reported limit is from the known one, the likelier it has changed.
        let known = route.limit.per_second.unwrap_or(limit).max(MIN_RATE);
        let weight =
            (LIMIT_WEIGHT_FACTOR * (limit - known).abs() / known).clamp(AVERAGE_WEIGHT, 1.0);
        route.record_limit(limit, weight, self.replicas);
        match left.filter(|_| limit > 0.0) {
            Some(left) => route.limit.record_allowance(left),
            None => route.limit.remaining_allowance = None,
        }
    }

    /// Refills the token bucket of a route and returns its rate in calls per second. Ends the recovery ramp once the
    /// destination has warmed up and calls without the ramp cannot overload it.
    pub(crate) fn refill(&mut self, key: RouteKey) -> f64 {
        let now = self.now;
        let Some(route) = self.routes.get(&key) else {
            return 0.0;
        };
        let ramp = self.recovery_ramp(route);
        let Some(route) = self.routes.get_mut(&key) else {
            return 0.0;
        };
        if route.is_slow_start_over(&self.settings.rules, ramp, now) {
            route.recovery.is_active = false;
            route.recovery.recovered_at = None;
        }
        let rate = route
            .pacing
            .rate
            .min(ramp)
            .min(route.limit.replica_rate(self.replicas))
            .max(route.urgent_rate.min(ramp));
        let depth = if ramp.is_finite() {
            1.0
        } else {
            (rate * BUCKET_DEPTH_SECONDS).max(1.0)
        };
        // No tokens accumulate during a Retry-After. Otherwise all replicas with the same one would send at its end.
        let paused_until = route.retry_after_until;
        let bucket = &mut route.pacing.bucket;
        bucket.refill(now, paused_until, rate, depth);
        rate
    }
}
