//! The circuit breaker of a route: when it trips, for how long, and what its rolling window indicates.

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
    /// The call has been in flight for longer than the slow-call threshold.
    Slow,
    /// The call ended and may have been executed.
    MayHaveExecuted,
    /// The call ended and provably was not executed.
    NotExecuted,
}

impl FailureKind {
    /// The kind of failure of a call that ended with this outcome.
    pub(crate) fn of_outcome(outcome: AttemptOutcome) -> Self {
        if outcome.may_have_executed() {
            FailureKind::MayHaveExecuted
        } else {
            FailureKind::NotExecuted
        }
    }
}

impl CircuitBreaker {
    /// Whether calls pass without restriction.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// Counts a success and resets the counts of consecutive failures and rejections.
    pub(crate) fn count_success(&mut self, now: Micros) {
        self.window.record(now, ERROR_WINDOW, CallResult::Success);
        self.consecutive_failures = 0;
        self.consecutive_rejections = 0;
    }

    /// Counts a rejection by the destination.
    pub(crate) fn count_rejection(&mut self, now: Micros) {
        self.window.record(now, ERROR_WINDOW, CallResult::Rejected);
        self.consecutive_rejections += 1;
    }

    /// Counts a failure and records whether the call may have been executed.
    pub(crate) fn count_failure(&mut self, now: Micros, kind: FailureKind) {
        self.window.record(now, ERROR_WINDOW, CallResult::Failure);
        self.consecutive_failures += 1;
        if self.consecutive_failures == 1 {
            self.failing_since = now;
        }
        self.last_failure_not_executed = kind == FailureKind::NotExecuted;
    }

    /// Whether many of the latest calls failed. A few failed calls to a healthy destination are not an outage.
    fn is_failing(&self) -> bool {
        let samples = self.window.len().min(OUTAGE_SAMPLES);
        let failed = self
            .window
            .count_latest(OUTAGE_SAMPLES, CallResult::Failure);
        failed > 1 && failed as f64 >= OUTAGE_FAILURE_RATIO * samples as f64
    }

    /// Whether a failure is part of an outage. While the breaker is not closed, every failure is.
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

    /// Whether the next call is a probe that may fail after it was executed, so that its message could not be retried.
    pub(crate) fn risks_message(&self) -> bool {
        !self.is_closed() && !self.last_failure_not_executed
    }

    /// Opens the breaker until `until`.
    pub(crate) fn trip(&mut self, until: Micros) {
        self.state = BreakerState::Open(until);
    }

    /// Records the start of a call, which is the probe if the breaker is not closed.
    pub(crate) fn record_start(&mut self) {
        if !self.is_closed() {
            self.state = BreakerState::HalfOpen;
        }
    }

    /// Reopens a half-open breaker from a handover, so that this process may start a probe of its own.
    pub(crate) fn discard_probe(&mut self) {
        if self.state == BreakerState::HalfOpen {
            self.trip(0);
        }
    }

    /// Whether the recent results trip the breaker. Two consecutive failures do so only if many of the latest calls
    /// failed, as they are not unusual on a busy route that mostly succeeds.
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
    /// How long the breaker stays open. `chance` is a random number from 0 to 1.
    ///
    /// The probes of a large fleet alone can exceed the capacity of a destination that warms up. The mean duration
    /// keeps all probes together below that capacity, and the random part keeps them from coinciding.
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
