//! Updates the state of a route and a host with the outcome of a call.

use crate::call::CallEnd;
use crate::circuit_breaker::FailureKind;
use crate::rolling_window::CallResult;
use crate::route::BreakerState;
use crate::state::DeliveryPolicy;
use crate::tuning::{
    jitter_factor, CONSECUTIVE_ERRORS_TO_TRIP, EJECTION_DURATION, EXHAUSTED_ALLOWANCE,
    UNAVAILABLE_AFTER, UNUSED_ALLOWANCE,
};
use crate::types::{AttemptOutcome, HostId, Micros, RouteKey};

impl DeliveryPolicy {
    /// Records the outcome of a call or probe.
    pub(crate) fn record_outcome(&mut self, end: &CallEnd) {
        // Drawn for every outcome, including those that do not use it.
        let chance = self.random.next_fraction();
        match end.outcome {
            AttemptOutcome::Delivered => self.record_success(end, chance),
            AttemptOutcome::Rejected { .. } => self.record_rejection(end.route),
            // A broken reused connection is no evidence about its host; the next call opens a new connection.
            outcome if outcome.is_inconclusive() && !end.was_slow => {
                self.release_probe(end.route);
            }
            _ if end.was_slow => self.confirm_slow_failure(end.route, chance),
            outcome => self.record_failure(end.route, end.host, FailureKind::of_outcome(outcome)),
        }
    }

    /// Lets another probe start at once, as the last one was inconclusive.
    fn release_probe(&mut self, key: RouteKey) {
        let now = self.now;
        let Some(route) = self.routes.get_mut(&key) else {
            return;
        };
        if route.breaker.state == BreakerState::HalfOpen {
            route.breaker.trip(now);
        }
    }

    /// Records the failure of a slow call. It was counted as failed when it became slow, but only its actual failure
    /// may indicate an outage.
    fn confirm_slow_failure(&mut self, key: RouteKey, chance: f64) {
        let now = self.now;
        let Some(route) = self.routes.get_mut(&key) else {
            return;
        };
        if !route.recovery.is_active && route.breaker.indicates_outage() {
            route.record_outage(now, now, chance);
        }
    }

    fn record_success(&mut self, end: &CallEnd, chance: f64) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&end.host) {
            host.consecutive_failures = 0;
            host.ejected_until = 0;
        }
        let Some(route) = self.routes.get_mut(&end.route) else {
            return;
        };
        if end.was_slow {
            // The failure that was counted when the call became slow was a false positive.
            route.breaker.window.remove_last(CallResult::Failure);
        }
        route.detect_unseen_outage(now, chance);
        let last_success = route.breaker.window.last_at(CallResult::Success);
        route.breaker.count_success(now);
        route.shorten_backoff(now, self.replicas);
        if !route.breaker.is_closed() {
            route.breaker.state = BreakerState::Closed;
            // Tokens from the waiting time are dropped, so that the backlog is not sent in a burst.
            route.pacing.bucket.limit_to(now, 0.0);
        }
        let sent_at = now.saturating_sub(end.elapsed);
        route.end_outage(now, sent_at, last_success.unwrap_or(0));
        route.raise_rate(now, self.replicas, self.settings.weight_source);
        self.record_latency(end);
    }

    fn record_rejection(&mut self, key: RouteKey) {
        let now = self.now;
        let replicas = self.replicas;
        let chance = self.random.next_fraction();
        let Some(route) = self.routes.get_mut(&key) else {
            return;
        };
        route.breaker.count_rejection(now);
        let allowance = route.limit.remaining_allowance;
        let is_exhausted = allowance.is_some_and(|left| left < EXHAUSTED_ALLOWANCE);
        let is_unused = allowance.is_some_and(|left| left > UNUSED_ALLOWANCE);
        route.breaker.is_limit_likely = is_exhausted || route.uses_even_share(now, replicas);
        if route.breaker.consecutive_rejections == 1 || is_exhausted {
            route.breaker.rejected_since = now;
        }
        if is_exhausted {
            // The usage factor sets the time of the next call. The random level keeps the replicas that were rejected
            // from retrying simultaneously.
            route.pacing.bucket.limit_to(now, chance);
            route.backoff_until = route.backoff_until.max(route.retry_after_until);
        } else if route.backoff_until <= now {
            // Of several calls that were in flight together, only the first rejection lengthens the backoff.
            route.lengthen_backoff(now, replicas, chance);
        }
        // A few rejections are attributed to the limit. They count as an outage after `UNAVAILABLE_AFTER` without a
        // success, or at once if the allowance is unused.
        let only_rejections = route.breaker.consecutive_rejections > CONSECUTIVE_ERRORS_TO_TRIP
            || !route.breaker.is_closed();
        let rejected_since = route.breaker.rejected_since;
        if is_unused || only_rejections && now >= rejected_since + UNAVAILABLE_AFTER {
            route.record_outage(now, rejected_since, chance);
        }
        if only_rejections {
            let open_for = route.open_duration(replicas, &self.settings.rules, chance);
            route.breaker.last_failure_not_executed = true;
            route.breaker.trip(now + open_for);
        }
    }

    /// Records a failed call: ejects its host, and trips the breaker if all hosts of the route are ejected.
    pub(crate) fn record_failure(&mut self, key: RouteKey, host: HostId, kind: FailureKind) {
        let now = self.now;
        let chance = self.random.next_fraction();
        if let Some(host) = self.hosts.get_mut(&host) {
            let ejected_for = EJECTION_DURATION as f64 * jitter_factor(chance);
            host.consecutive_failures += 1;
            host.ejected_until = now + ejected_for as Micros;
        }
        let Some(route) = self.routes.get_mut(&key) else {
            return;
        };
        // The failure of one host must not stop calls to the others: the breaker stays closed while a host is not
        // ejected.
        let has_alternative = route.hosts.iter().any(|id| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| host.ejected_until <= now)
        });
        route.breaker.count_failure(now, kind);
        if kind != FailureKind::Slow && route.breaker.indicates_outage() {
            route.record_outage(now, now, chance);
            // The failure of calls that hung may be simultaneous at all replicas. Their next calls with recovered
            // messages do not wait for the breaker, so the random level spreads them.
            if route.urgent_rate > 0.0 {
                route.pacing.bucket.limit_to(now, chance);
            }
        }
        let trips = route.breaker.has_too_many_errors() && !has_alternative;
        if !route.breaker.is_closed() || trips {
            let open_for = route.open_duration(self.replicas, &self.settings.rules, chance);
            route.breaker.trip(now + open_for);
        }
    }
}
