//! The circuit breaker of a route: what the results of calls say of it, when it trips and for how long.

use crate::call::{Call, CallEnd};
use crate::rolling_window::CallResult;
use crate::route::{BreakerState, CircuitBreaker, Route};
use crate::state::DeliveryPolicy;
use crate::tuning::{
    jitter_factor, CONSECUTIVE_ERRORS_TO_TRIP, CONSECUTIVE_FAILURES_OF_OUTAGE, EJECTION_DURATION,
    ERROR_RATIO_TO_TRIP, ERROR_WINDOW, EXHAUSTED_ALLOWANCE, MIN_CALLS_TO_TRIP, MIN_OUTAGE,
    OPEN_DURATION, OUTAGE_FAILURE_RATIO, OUTAGE_SAMPLES, RISKY_FAILURE_RATIO, SECOND, SMALL_FLEET,
    UNAVAILABLE_AFTER, UNUSED_ALLOWANCE,
};
use crate::types::{AttemptOutcome, HostId, Micros, PlatformRules, RouteKey};

/// Why a call counts as failed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// It has been in flight for longer than the threshold of slow calls.
    Slow,
    /// It ended and may have been executed.
    MayHaveExecuted,
    /// It ended and provably was not executed.
    NotExecuted,
}

impl FailureKind {
    /// The kind of a failure that was reported.
    pub(crate) fn of_outcome(outcome: AttemptOutcome) -> Self {
        if outcome.may_have_executed() {
            FailureKind::MayHaveExecuted
        } else {
            FailureKind::NotExecuted
        }
    }
}

impl CircuitBreaker {
    /// Whether calls pass.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// Counts a success, which ends a series of failures or rejections.
    pub(crate) fn count_success(&mut self, now: Micros) {
        self.window.record(now, ERROR_WINDOW, CallResult::Success);
        (self.consecutive_failures, self.consecutive_rejections) = (0, 0);
    }

    /// Counts a rejection.
    pub(crate) fn count_rejection(&mut self, now: Micros) {
        self.window.record(now, ERROR_WINDOW, CallResult::Rejected);
        self.consecutive_rejections += 1;
    }

    /// Counts a failure.
    pub(crate) fn count_failure(&mut self, now: Micros, kind: FailureKind) {
        self.window.record(now, ERROR_WINDOW, CallResult::Failure);
        self.consecutive_failures += 1;
        if self.consecutive_failures == 1 {
            self.failing_since = now;
        }
        self.last_failure_not_executed = kind == FailureKind::NotExecuted;
    }

    /// Whether many of the latest calls failed. A few broken answers of a healthy destination are no outage.
    fn is_failing(&self) -> bool {
        let failed = self
            .window
            .count_latest(OUTAGE_SAMPLES, CallResult::Failure);
        failed > 1
            && failed as f64 >= OUTAGE_FAILURE_RATIO * self.window.len().min(OUTAGE_SAMPLES) as f64
    }

    /// Whether a failure is part of an outage; behind a tripped breaker it is, whatever came before.
    fn indicates_outage(&self) -> bool {
        self.is_failing()
            || !self.is_closed()
            || self.consecutive_failures >= CONSECUTIVE_FAILURES_OF_OUTAGE
    }

    /// Whether the route may be down.
    pub(crate) fn is_suspect(&self) -> bool {
        self.consecutive_failures > 0 || !self.is_closed()
    }

    /// Whether calls are likely to fail after they may have been executed.
    pub(crate) fn is_risky(&self) -> bool {
        let failed = self.window.count(CallResult::Failure) as f64;
        let is_unreliable = failed > 1.0 && failed > RISKY_FAILURE_RATIO * self.window.len() as f64;
        !self.last_failure_not_executed && (self.is_suspect() || is_unreliable)
    }

    /// Whether a call is a probe that its message may not survive.
    pub(crate) fn risks_message(&self) -> bool {
        !self.is_closed() && !self.last_failure_not_executed
    }

    /// Opens the breaker until the moment `until`.
    pub(crate) fn trip(&mut self, until: Micros) {
        self.state = BreakerState::Open(until);
    }

    /// A call has started: behind a breaker that is not closed it is the probe.
    pub(crate) fn record_start(&mut self) {
        if !self.is_closed() {
            self.state = BreakerState::HalfOpen;
        }
    }

    /// A probe that an earlier process had in flight is not this one's: another may start.
    pub(crate) fn forget_probe(&mut self) {
        if self.state == BreakerState::HalfOpen {
            self.trip(0);
        }
    }

    /// Whether the window trips the breaker. Where many calls succeed, two failures in a row are no rarity.
    fn has_too_many_errors(&self) -> bool {
        let errors =
            self.window.count(CallResult::Failure) + self.window.count(CallResult::Rejected);
        let ratio = errors as f64 / self.window.len() as f64;
        self.consecutive_failures >= CONSECUTIVE_ERRORS_TO_TRIP && self.is_failing()
            || self.window.len() >= MIN_CALLS_TO_TRIP && ratio > ERROR_RATIO_TO_TRIP
    }
}

impl Route {
    /// How long the breaker stays open, by `chance` of 0 to 1. The probes of a large fleet alone are more than a
    /// destination takes while it warms up: all together they stay below that, and don't come in step.
    pub(crate) fn open_duration(
        &self,
        replicas: f64,
        rules: &PlatformRules,
        chance: f64,
    ) -> Micros {
        if replicas <= SMALL_FLEET {
            return (OPEN_DURATION as f64 * jitter_factor(chance)) as Micros;
        }
        let initial_capacity = (rules.overload_factor * rules.initial_capacity_share).max(0.1);
        let even = self.limit.even_interval(replicas) / initial_capacity * SECOND as f64;
        (even.clamp(OPEN_DURATION as f64, MIN_OUTAGE as f64) * (0.5 + chance)) as Micros
    }
}

impl DeliveryPolicy {
    /// Records how a call or probe ended.
    pub(crate) fn record_outcome(&mut self, end: &CallEnd) {
        let (now, chance) = (self.now, self.random.next_fraction());
        match end.outcome {
            AttemptOutcome::Delivered => {
                // The failure that was counted when the call became slow was a false positive.
                if let (true, Some(route)) = (end.was_slow, self.routes.get_mut(&end.route)) {
                    route.breaker.window.remove_last(CallResult::Failure);
                }
                self.record_success(end, chance);
            }
            AttemptOutcome::Rejected { .. } => self.record_rejection(end.route),
            // A reused connection that breaks says nothing of its host; the next call opens a new one.
            outcome if outcome.is_inconclusive() && !end.was_slow => {
                let route = self.routes.get_mut(&end.route);
                if let Some(route) =
                    route.filter(|route| route.breaker.state == BreakerState::HalfOpen)
                {
                    route.breaker.trip(now);
                }
            }
            _ if end.was_slow => {
                // Only now is it certain that the calls failed.
                let route = self
                    .routes
                    .get_mut(&end.route)
                    .filter(|route| !route.recovery.is_active);
                if let Some(route) = route.filter(|route| route.breaker.indicates_outage()) {
                    route.record_outage(now, chance);
                }
            }
            outcome => self.record_failure(end.route, end.host, FailureKind::of_outcome(outcome)),
        }
    }

    fn record_success(&mut self, end: &CallEnd, chance: f64) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&end.host) {
            (host.consecutive_failures, host.ejected_until) = (0, 0);
        }
        let Some(route) = self.routes.get_mut(&end.route) else {
            return;
        };
        route.detect_unseen_outage(now, chance);
        let last_success = route
            .breaker
            .window
            .last_at(CallResult::Success)
            .unwrap_or(0);
        route.breaker.count_success(now);
        route.shorten_backoff(now, self.replicas);
        if !route.breaker.is_closed() {
            route.breaker.state = BreakerState::Closed;
            // Waiting fills no bucket: what has queued up must not go out at once.
            route.pacing.bucket.limit_to(0.0);
        }
        route.end_outage(now, now.saturating_sub(end.elapsed), last_success);
        route.raise_rate(now, self.replicas, self.settings.weight_source);
        self.record_latency(end);
    }

    fn record_rejection(&mut self, key: RouteKey) {
        let (now, chance, replicas) = (self.now, self.random.next_fraction(), self.replicas);
        let Some(route) = self.routes.get_mut(&key) else {
            return;
        };
        route.breaker.count_rejection(now);
        let is_exhausted = route
            .limit
            .remaining_allowance
            .is_some_and(|left| left < EXHAUSTED_ALLOWANCE);
        route.breaker.is_limit_likely = is_exhausted || route.uses_even_share(now, replicas);
        if route.breaker.consecutive_rejections == 1 || is_exhausted {
            route.breaker.rejected_since = now;
        }
        if is_exhausted {
            // The usage factor says how soon; not all who were rejected may come again at once.
            route.pacing.bucket.limit_to(chance);
            route.backoff_until = route.backoff_until.max(route.retry_after_until);
        } else if route.backoff_until <= now {
            // Of calls that were in flight together the first rejection counts.
            route.lengthen_backoff(now, replicas, chance);
        }
        // Rejections alone for long are an outage, a few are the limit; with the allowance unused they are one at once.
        let is_unused = route
            .limit
            .remaining_allowance
            .is_some_and(|left| left > UNUSED_ALLOWANCE);
        let only_rejections = route.breaker.consecutive_rejections > CONSECUTIVE_ERRORS_TO_TRIP
            || !route.breaker.is_closed();
        if is_unused || only_rejections && now >= route.breaker.rejected_since + UNAVAILABLE_AFTER {
            route.record_outage(route.breaker.rejected_since, chance);
        }
        if only_rejections {
            route.breaker.last_failure_not_executed = true;
            route
                .breaker
                .trip(now + route.open_duration(replicas, &self.settings.rules, chance));
        }
    }

    fn record_failure(&mut self, key: RouteKey, host: HostId, kind: FailureKind) {
        let (now, chance) = (self.now, self.random.next_fraction());
        if let Some(host) = self.hosts.get_mut(&host) {
            host.consecutive_failures += 1;
            host.ejected_until = now + (EJECTION_DURATION as f64 * jitter_factor(chance)) as Micros;
        }
        let Some(route) = self.routes.get_mut(&key) else {
            return;
        };
        // The failure of one host must not stop the others: while one is in good standing, that is used.
        let is_available = |id| {
            self.hosts
                .get(id)
                .is_some_and(|host| host.ejected_until <= now)
        };
        let has_alternative = route.hosts.iter().any(is_available);
        route.breaker.count_failure(now, kind);
        if kind != FailureKind::Slow && route.breaker.indicates_outage() {
            route.record_outage(now, chance);
        }
        let trips = route.breaker.has_too_many_errors() && !has_alternative;
        if !route.breaker.is_closed() || trips {
            let open_for = route.open_duration(self.replicas, &self.settings.rules, chance);
            route.breaker.trip(now + open_for);
        }
    }

    /// Counts slow calls as failed while they are in flight: a hang is detected before the first time-out.
    pub(crate) fn record_slow_calls(&mut self) {
        let now = self.now;
        let slow = self
            .calls
            .values_mut()
            .filter(|call| !call.is_slow && call.slow_at <= now);
        let slow: Vec<_> = slow.map(Call::mark_slow).collect();
        for (route, host) in slow {
            self.record_failure(route, host, FailureKind::Slow);
        }
    }
}
