//! The constants of all decisions, with their reasons.

use crate::types::{Class, Micros};

/// One second in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;

// Circuit breaker and outages

/// Span of the rolling error window.
pub(crate) const ERROR_WINDOW: Micros = 10 * SECOND;
/// Ratio of errors in the window above which the breaker trips.
pub(crate) const ERROR_RATIO_TO_TRIP: f64 = 0.5;
/// Least number of calls in the window for that ratio; the usual 20 never come within the window.
pub(crate) const MIN_CALLS_TO_TRIP: usize = 4;
/// Consecutive failures that trip below the minimum of calls, where many of the latest calls failed.
pub(crate) const CONSECUTIVE_ERRORS_TO_TRIP: u32 = 2;
/// Consecutive failures that are an outage at any ratio: one in a thousand where one call in ten fails by itself.
pub(crate) const CONSECUTIVE_FAILURES_OF_OUTAGE: u32 = 3;
/// How long a breaker stays open: short against deadlines of many seconds, long against one call.
pub(crate) const OPEN_DURATION: Micros = 3 * SECOND / 2;
/// In a large fleet a breaker stays open for its mean duration times this to one more, by chance.
pub(crate) const MIN_OPEN_FACTOR: f64 = 0.5;
/// Least multiple of its limit that a destination back from an outage is taken to bear.
pub(crate) const MIN_INITIAL_CAPACITY: f64 = 0.1;
/// How long a host that failed is ejected where another one serves.
pub(crate) const EJECTION_DURATION: Micros = 3 * SECOND;
/// Threshold of slow calls as a multiple of the expected latency: few calls that succeed take longer. A call in flight
/// beyond the threshold counts as failed.
pub(crate) const SLOW_CALL_FACTOR: f64 = 5.0;
/// Added to the threshold of slow calls: for a very short expected latency the factor alone would be too strict.
pub(crate) const SLOW_CALL_MARGIN: Micros = SECOND / 4;
/// Number of the latest calls by which an outage is judged.
pub(crate) const OUTAGE_SAMPLES: usize = 12;
/// Ratio of failures among them that is an outage.
pub(crate) const OUTAGE_FAILURE_RATIO: f64 = 0.4;
/// Rejections alone over this time, a probe among them, are an outage and not a limit.
pub(crate) const UNAVAILABLE_AFTER: Micros = 13 * SECOND / 10;
/// Least time between two successes with an outage between them: within less, rejections and failures are none.
pub(crate) const MIN_SUCCESS_GAP_OF_OUTAGE: Micros = 3 * SECOND / 2;
/// Least duration that is assumed for an outage, also for what is left of it: most replicas see its start late.
pub(crate) const MIN_OUTAGE: Micros = 5 * SECOND;
/// How long after its last call the recovery ramp of a removed route is retained.
pub(crate) const OUTAGE_RETENTION: Micros = 6 * ERROR_WINDOW;
/// The probes of this number of replicas alone harm no destination.
pub(crate) const SMALL_FLEET: f64 = 6.0;

// Retry

/// Pause before the next attempt after an error, for each attempt so far.
pub(crate) const RETRY_BACKOFF: Micros = SECOND / 5;
/// Rounds before its deadline at which a message gets its final answer at the latest.
pub(crate) const ANSWER_MARGIN_ROUNDS: u64 = 2;
/// Least time-out of a repeatable attempt, as a multiple of the expected latency and of the attempts with this one.
pub(crate) const TIMEOUT_FACTOR: f64 = 10.0;
/// The time left before the deadline over this is another lower bound of that time-out.
pub(crate) const TIME_LEFT_DIVISOR: Micros = 3;
/// The window of an idempotency key over this is the longest time-out of the first attempt with the key.
pub(crate) const KEY_WINDOW_DIVISOR: Micros = 2;

// Limits and pacing

/// Weight of a reported limit, as a multiple of its relative distance from the limit known before.
pub(crate) const LIMIT_WEIGHT_FACTOR: f64 = 2.0;
/// Lowest limit that is accepted, in calls a second; a route is never given up.
pub(crate) const MIN_RATE: f64 = 0.3;
/// Highest limit that is accepted, in calls a second.
pub(crate) const MAX_RATE: f64 = 1e6;
/// One report moves the limit by this factor at most, up or down.
pub(crate) const MAX_LIMIT_STEP: f64 = 2.0;
/// Highest rate of this replica as a multiple of the limit.
pub(crate) const LIMIT_TOLERANCE: f64 = 1.1;
/// The same where the listed weights are rough.
pub(crate) const ROUGH_LIMIT_TOLERANCE: f64 = 1.5;
/// Depth of a route's token bucket in seconds of its rate, one call at least; without a recovery ramp.
pub(crate) const BUCKET_DEPTH_SECONDS: f64 = 0.6;
/// Share of the allowance left below which a rejection is due to the limit; reports are noisy.
pub(crate) const EXHAUSTED_ALLOWANCE: f64 = 0.1;
/// Share of the allowance left below which it is low.
pub(crate) const LOW_ALLOWANCE: f64 = 0.3;
/// Share of the allowance left above which a rejection is not due to the limit.
pub(crate) const UNUSED_ALLOWANCE: f64 = 0.9;
/// Usage factor of a limit whose allowance is exhausted.
pub(crate) const EXHAUSTED_USAGE_FACTOR: f64 = 0.7;
/// Highest usage factor where the allowance is low.
pub(crate) const LOW_USAGE_FACTOR: f64 = 0.95;
/// Highest usage factor.
pub(crate) const MAX_USAGE_FACTOR: f64 = 4.0;
/// Growth of the usage factor with each report, for all of the allowance above the low one.
pub(crate) const USAGE_FACTOR_GROWTH: f64 = 0.1;
/// Least first backoff; above it is the interval of an even share of the limit.
pub(crate) const FIRST_BACKOFF_MIN_SECONDS: f64 = 0.25;
/// Longest first backoff.
pub(crate) const FIRST_BACKOFF_MAX_SECONDS: f64 = 2.0;
/// A rejection multiplies the backoff by this; with the divisor, one call in three is rejected under load.
pub(crate) const BACKOFF_MULTIPLIER: Micros = 3;
/// A success divides the backoff by this.
pub(crate) const BACKOFF_DIVISOR: Micros = 2;
/// Longest backoff.
pub(crate) const MAX_BACKOFF: Micros = 20 * SECOND;
/// Longest backoff against the interval of an even share: all replicas together then use 0.7 of the limit.
pub(crate) const MAX_BACKOFF_FACTOR: f64 = 1.4;
/// Factor of the rate and of the concurrency limit after a rejection; gentle, as a second one soon cuts again.
pub(crate) const REJECTION_DECREASE: f64 = 0.8;
/// Growth of the rate with each success, as a share of the fair rate.
pub(crate) const RATE_GROWTH: f64 = 0.06;
/// Factor of the best rate with each success.
pub(crate) const BEST_RATE_DECAY: f64 = 0.99;
/// Span over which this replica's own rate of successes is measured, in seconds.
pub(crate) const RATE_SPAN_SECONDS: u64 = 3;
/// Replicas at most that are taken to be busy with one destination at a time.
pub(crate) const MAX_BUSY_REPLICAS: f64 = 3.0;

// Expected latency

/// Weight of a new sample in a moving average of a route.
pub(crate) const AVERAGE_WEIGHT: f64 = 0.15;
/// Share of that weight in the moving average of a class, to which several routes add.
pub(crate) const CLASS_WEIGHT_SHARE: f64 = 0.3;
/// Least latency of a route as a multiple of that of a class.
pub(crate) const MIN_RELATIVE_LATENCY: f64 = 0.2;
/// Greatest latency of a route as a multiple of that of a class.
pub(crate) const MAX_RELATIVE_LATENCY: f64 = 50.0;
/// Expected latency of a class of which nothing is known: its latency objective divided by this.
pub(crate) const OBJECTIVE_TO_LATENCY: f64 = 6.0;

// Slots and selection

/// Calls that a new route may have in flight.
pub(crate) const INITIAL_CONCURRENCY: f64 = 4.0;
/// Most slots of a healthy route, as a share of all.
pub(crate) const HEALTHY_SLOT_SHARE: f64 = 0.75;
/// Taken off the slots of a healthy route before they are rounded down: a share that is whole counts as one less.
pub(crate) const HEALTHY_SLOT_MARGIN: f64 = 0.01;
/// Most slots of a suspect route, as a share of all; a hang of half would stop the others' work.
pub(crate) const SUSPECT_SLOT_SHARE: f64 = 0.25;
/// Slots that a route whose breaker is not closed has at least.
pub(crate) const MIN_SUSPECT_SLOTS: f64 = 2.0;
/// Ratio of failures above which non-idempotent messages wait.
pub(crate) const RISKY_FAILURE_RATIO: f64 = 0.2;
/// They wait until this share of their time to live is left.
pub(crate) const RISKY_TIME_RESERVE: f64 = 0.25;
/// Time left before a shutdown that a repeatable attempt needs, as a multiple of the expected latency.
pub(crate) const SHUTDOWN_MARGIN_FACTOR: f64 = 2.0;
/// Cost of an ejected host, in calls.
pub(crate) const EJECTED_HOST_COST: f64 = 100.0;
/// Cost of each consecutive failure of a host, in calls.
pub(crate) const FAILURE_COST: f64 = 5.0;
/// Consecutive failures at most that have a cost.
pub(crate) const MAX_COSTED_FAILURES: u32 = 5;
/// Cost of a point of fees, in calls.
pub(crate) const FEE_COST: f64 = 10.0;

// Queue and dispatch order

/// The share of the queue that is kept free for the arrivals of one round is one over this.
pub(crate) const QUEUE_HEADROOM_DIVISOR: usize = 10;
/// The share of recovered messages that may be rejected to make room is one over this: after two restarts most are
/// attempted still.
pub(crate) const RECOVERED_SHED_DIVISOR: usize = 4;
/// Share of a message's value that delay costs at its latency objective, less where that is further away.
pub(crate) const EARLY_OBJECTIVE_COST: f64 = 0.02;
/// How far ahead the cost of delay is judged.
pub(crate) const DELAY_HORIZON: Micros = 3 * SECOND;
/// How far ahead it is forecast at most when a queued message is sent.
pub(crate) const MAX_FORECAST_SECONDS: f64 = 60.0;
/// Least backoff of a route in such a forecast.
pub(crate) const FORECAST_MIN_BACKOFF: Micros = SECOND / 20;
/// Least rate of a destination in such a forecast, in calls a second.
pub(crate) const FORECAST_MIN_RATE: f64 = 0.1;
/// Time before their deadlines by which recovered messages are attempted, for a stall of the process.
pub(crate) const STALL_RESERVE: Micros = SECOND / 4;
/// Retry-After of rejected clients, as a share of the longest that they heed.
pub(crate) const RETRY_AFTER_SHARE: f64 = 0.75;

// Timer and discovery

/// When a ready route for which messages wait is checked again, if no event comes before.
pub(crate) const READY_ROUTE_RECHECK: Micros = SECOND / 2;
/// First pause after discovery failed; it doubles.
pub(crate) const MIN_POLL_BACKOFF: Micros = SECOND / 2;
/// The longest poll interval over this is the interval of polls while none is answered.
pub(crate) const POLL_INTERVAL_DIVISOR: Micros = 2;
/// The longest poll interval over this is the longest pause after discovery failed.
pub(crate) const POLL_BACKOFF_DIVISOR: Micros = 4;

/// Moves a duration by up to a tenth, by `chance` of 0 to 1, so that replicas which saw the same don't act in step.
pub(crate) fn jitter_factor(chance: f64) -> f64 {
    0.9 + 0.2 * chance
}

/// Expected latency of a class of which nothing is known, in microseconds.
pub(crate) fn initial_latency(class: &Class) -> f64 {
    class.latency_objective as f64 / OBJECTIVE_TO_LATENCY
}
