//! The constants of all decisions, with their reasons.

use crate::types::Micros;

pub(crate) const SECOND: Micros = 1_000_000;

/// Span of the rolling error window.
pub(crate) const ERROR_WINDOW: Micros = 10 * SECOND;
/// Ratio of errors that trips the breaker, and the least number of calls; the usual 20 never come within the window.
pub(crate) const ERROR_RATIO_TO_TRIP: f64 = 0.5;
pub(crate) const MIN_CALLS_TO_TRIP: usize = 4;
/// Consecutive failures that trip below the minimum of calls, where many of the latest calls failed.
pub(crate) const CONSECUTIVE_ERRORS_TO_TRIP: u32 = 2;
/// Consecutive failures that are an outage at any ratio: one in a thousand where one call in ten fails by itself.
pub(crate) const CONSECUTIVE_FAILURES_OF_OUTAGE: u32 = 3;
/// How long a breaker stays open: short against deadlines of many seconds, long against one call.
pub(crate) const OPEN_DURATION: Micros = 3 * SECOND / 2;
/// How long a host that failed is ejected where another one serves.
pub(crate) const EJECTION_DURATION: Micros = 3 * SECOND;
/// Threshold of slow calls as a multiple of the expected latency: few calls that succeed take longer. A call in flight
/// beyond it counts as failed.
pub(crate) const SLOW_CALL_FACTOR: f64 = 5.0;
/// Latest calls by which an outage is judged, and the ratio of failures among them that is one.
pub(crate) const OUTAGE_SAMPLES: usize = 12;
pub(crate) const OUTAGE_FAILURE_RATIO: f64 = 0.4;
/// Rejections alone over this time, a probe among them, are an outage and not a limit.
pub(crate) const UNAVAILABLE_AFTER: Micros = 13 * SECOND / 10;
/// Least time between two successes with an outage between them: within less, rejections and failures are none.
pub(crate) const MIN_SUCCESS_GAP_OF_OUTAGE: Micros = 3 * SECOND / 2;
/// Least duration that is assumed for an outage, also for what is left of it: most replicas see its start late.
pub(crate) const MIN_OUTAGE: Micros = 5 * SECOND;
/// How long after its last call the recovery ramp of a removed route is retained.
pub(crate) const OUTAGE_RETENTION: Micros = 6 * ERROR_WINDOW;

/// Pause before the next attempt after an error, for each attempt so far.
pub(crate) const RETRY_BACKOFF: Micros = SECOND / 5;

/// Weight of a reported limit, as a multiple of its relative distance from the limit known before.
pub(crate) const LIMIT_WEIGHT_FACTOR: f64 = 2.0;
/// Lowest and highest limit that is accepted, in calls a second; a route is never given up.
pub(crate) const MIN_RATE: f64 = 0.3;
pub(crate) const MAX_RATE: f64 = 1e6;
/// Shares of the allowance left: a rejection is due to the limit (reports are noisy), little is left, it is not due.
pub(crate) const EXHAUSTED_ALLOWANCE: f64 = 0.1;
pub(crate) const LOW_ALLOWANCE: f64 = 0.3;
pub(crate) const UNUSED_ALLOWANCE: f64 = 0.9;
/// Usage factor of a limit whose allowance is exhausted, its bound where the allowance is low, and at most.
pub(crate) const EXHAUSTED_USAGE_FACTOR: f64 = 0.7;
pub(crate) const LOW_USAGE_FACTOR: f64 = 0.95;
pub(crate) const MAX_USAGE_FACTOR: f64 = 4.0;
/// Growth of the usage factor with each report, for all of the allowance above the low one.
pub(crate) const USAGE_FACTOR_GROWTH: f64 = 0.1;
/// Bounds of the first backoff in seconds; between them it is the interval of an even part of the limit.
pub(crate) const FIRST_BACKOFF_MIN_SECONDS: f64 = 0.25;
pub(crate) const FIRST_BACKOFF_MAX_SECONDS: f64 = 2.0;
/// A rejection multiplies the backoff, a success divides it: with both, one call in three is rejected under load.
pub(crate) const BACKOFF_MULTIPLIER: Micros = 3;
pub(crate) const BACKOFF_DIVISOR: Micros = 2;
pub(crate) const MAX_BACKOFF: Micros = 20 * SECOND;
/// Longest backoff against the interval of an even part: all replicas together then use 0.7 of the limit.
pub(crate) const MAX_BACKOFF_FACTOR: f64 = 1.4;
/// Rate and concurrency limit after a rejection; gentle, as a second one soon cuts again.
pub(crate) const REJECTION_DECREASE: f64 = 0.8;
/// With each success: growth of the rate, as a share of the fair rate, and decay of the best rate.
pub(crate) const RATE_GROWTH: f64 = 0.06;
pub(crate) const BEST_RATE_DECAY: f64 = 0.99;
/// Span over which this replica's own rate of successes is measured, in seconds.
pub(crate) const RATE_SPAN_SECONDS: u64 = 3;
/// The probes of so few replicas alone harm no destination.
pub(crate) const SMALL_FLEET: f64 = 6.0;
/// Replicas at most that are taken to be busy with one destination at a time.
pub(crate) const MAX_BUSY_REPLICAS: f64 = 3.0;
/// Weight of a new sample in the moving average of a route, and the share of it in that of a class, to which several
/// routes add; and the bounds of the former.
pub(crate) const AVERAGE_WEIGHT: f64 = 0.15;
pub(crate) const CLASS_WEIGHT_SHARE: f64 = 0.3;
pub(crate) const MIN_RELATIVE_LATENCY: f64 = 0.2;
pub(crate) const MAX_RELATIVE_LATENCY: f64 = 50.0;
/// Expected latency of a class of which nothing is known: its latency objective divided by this.
pub(crate) const OBJECTIVE_TO_LATENCY: f64 = 6.0;

/// Calls that a new route may have in flight.
pub(crate) const INITIAL_CONCURRENCY: f64 = 4.0;
/// Most slots of a healthy route and of a suspect one, as shares of all; a hang of half would stop the others' work.
pub(crate) const HEALTHY_SLOT_SHARE: f64 = 0.75;
pub(crate) const SUSPECT_SLOT_SHARE: f64 = 0.25;
/// Ratio of failures above which non-idempotent messages wait, until this share of their time to live is left.
pub(crate) const RISKY_FAILURE_RATIO: f64 = 0.2;
pub(crate) const RISKY_TIME_RESERVE: f64 = 0.25;
/// Multiples of the expected latency: least time-out of a repeatable attempt, and time left before a shutdown for it.
pub(crate) const TIMEOUT_FACTOR: f64 = 10.0;
pub(crate) const SHUTDOWN_MARGIN_FACTOR: f64 = 2.0;
/// Cost of an ejected host, of each consecutive failure up to the most that count, and of a point of fees, in calls.
pub(crate) const EJECTED_HOST_COST: f64 = 100.0;
pub(crate) const FAILURE_COST: f64 = 5.0;
pub(crate) const MAX_COSTED_FAILURES: u32 = 5;
pub(crate) const FEE_COST: f64 = 10.0;
/// The share of the queue that is kept free for the arrivals of one round is one over this.
pub(crate) const QUEUE_HEADROOM_DIVISOR: usize = 10;
/// The share of recovered messages that may be rejected to make room is one over this: after two restarts most are
/// attempted still.
pub(crate) const RECOVERED_SHED_DIVISOR: usize = 4;
/// Share of a message's value that delay costs at its latency objective, less where that is further away.
pub(crate) const EARLY_OBJECTIVE_COST: f64 = 0.02;
/// How far ahead the cost of delay is judged, and how far the turn of a queued message is forecast at most.
pub(crate) const DELAY_HORIZON: Micros = 3 * SECOND;
pub(crate) const MAX_FORECAST_SECONDS: f64 = 60.0;
/// First pause after discovery failed; it doubles.
pub(crate) const MIN_POLL_BACKOFF: Micros = SECOND / 2;
/// Retry-After of rejected clients, as a share of the longest that they heed.
pub(crate) const RETRY_AFTER_SHARE: f64 = 0.75;

/// Moves a duration by up to a tenth, by `chance` of 0 to 1, so that replicas which saw the same don't act in step.
pub(crate) fn jitter_factor(chance: f64) -> f64 {
    0.9 + 0.2 * chance
}
