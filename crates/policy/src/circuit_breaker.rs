//! The circuit breaker of a route: when it trips, for how long, and what its window of results says of the route.

use crate::rolling_window::CallResult;
use crate::route::{BreakerState, CircuitBreaker, Route};
use crate::tuning::{
    jitter_factor, CONSECUTIVE_ERRORS_TO_TRIP, CONSECUTIVE_FAILURES_OF_OUTAGE, ERROR_RATIO_TO_TRIP,
    ERROR_WINDOW, MIN_CALLS_TO_TRIP, MIN_INITIAL_CAPACITY, MIN_OPEN_FACTOR, MIN_OUTAGE,
    OPEN_DURATION, OUTAGE_FAILURE_RATIO, OUTAGE_SAMPLES, RISKY_FAILURE_RATIO, SECOND, SMALL_FLEET,
};
use crate::types::{AttemptOutcome, Micros, PlatformRules};

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
        self.consecutive_failures = 0;
        self.consecutive_rejections = 0;
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
        let samples = self.window.len().min(OUTAGE_SAMPLES);
        let failed = self
            .window
            .count_latest(OUTAGE_SAMPLES, CallResult::Failure);
        failed > 1 && failed as f64 >= OUTAGE_FAILURE_RATIO * samples as f64
    }

    /// Whether a failure is part of an outage; behind a tripped breaker it is, whatever came before.
    pub(crate) fn indicates_outage(&self) -> bool {
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
    pub(crate) fn has_too_many_errors(&self) -> bool {
        let calls = self.window.len();
        let failures = self.window.count(CallResult::Failure);
        let errors = failures + self.window.count(CallResult::Rejected);
        let ratio = errors as f64 / calls as f64;
        let is_ratio_high = calls >= MIN_CALLS_TO_TRIP && ratio > ERROR_RATIO_TO_TRIP;
        let is_series_long = self.consecutive_failures >= CONSECUTIVE_ERRORS_TO_TRIP;
        is_ratio_high || is_series_long && self.is_failing()
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
        let initial_capacity =
            (rules.overload_factor * rules.initial_capacity_share).max(MIN_INITIAL_CAPACITY);
        let even_interval = self.limit.even_interval(replicas) / initial_capacity * SECOND as f64;
        let mean = even_interval.clamp(OPEN_DURATION as f64, MIN_OUTAGE as f64);
        (mean * (MIN_OPEN_FACTOR + chance)) as Micros
    }
}
