//! The constants of all decisions and the reasons for their values.

use crate::types::{Class, Micros};

/// One second in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;

// Circuit breaker and outages

/// Span of the rolling error window.
pub(crate) const ERROR_WINDOW: Micros = 10 * SECOND;
/// Ratio of errors in the window above which the breaker trips.
pub(crate) const ERROR_RATIO_TO_TRIP: f64 = 0.5;
/// Minimum number of calls in the window for that ratio to apply. The customary 20 calls are never reached within the
/// window.
pub(crate) const MIN_CALLS_TO_TRIP: usize = 4;
/// Consecutive failures that trip the breaker even below that minimum, if many of the latest calls failed.
pub(crate) const CONSECUTIVE_ERRORS_TO_TRIP: u32 = 2;
/// Consecutive failures that indicate an outage at any failure ratio. Where one call in ten fails independently, a run
/// of three has a probability of one in a thousand.
pub(crate) const CONSECUTIVE_FAILURES_OF_OUTAGE: u32 = 3;
/// How long a breaker stays open: short against deadlines of many seconds, long against one call.
pub(crate) const OPEN_DURATION: Micros = 3 * SECOND / 2;
/// In a large fleet a breaker stays open for its mean duration times a random factor between this and this plus one.
pub(crate) const MIN_OPEN_FACTOR: f64 = 0.5;
/// Minimum assumed capacity of a destination right after an outage, as a multiple of its limit.
pub(crate) const MIN_INITIAL_CAPACITY: f64 = 0.1;
/// How long a host is ejected after a failure if another host of the route can serve.
pub(crate) const EJECTION_DURATION: Micros = 3 * SECOND;
/// Slow-call threshold as a multiple of the expected latency, which few successful calls exceed. A call in flight
/// beyond the threshold counts as failed.
pub(crate) const SLOW_CALL_FACTOR: f64 = 5.0;
/// Added to the slow-call threshold: for a very short expected latency the factor alone would be too strict.
pub(crate) const SLOW_CALL_MARGIN: Micros = SECOND / 4;
/// Number of latest calls that are examined for an outage.
pub(crate) const OUTAGE_SAMPLES: usize = 12;
/// Minimum ratio of failures among these calls that indicates an outage.
pub(crate) const OUTAGE_FAILURE_RATIO: f64 = 0.4;
/// A period of only rejections, including that of a probe, is attributed to an outage instead of the limit from this
/// duration on.
pub(crate) const UNAVAILABLE_AFTER: Micros = 13 * SECOND / 10;
/// Minimum time between two successes that an outage separates. Rejections and failures within a shorter gap are not an
/// outage.
pub(crate) const MIN_SUCCESS_GAP_OF_OUTAGE: Micros = 3 * SECOND / 2;
/// Minimum duration that is assumed for an outage, and for the rest of one that is in progress: most replicas detect
/// its start late.
pub(crate) const MIN_OUTAGE: Micros = 5 * SECOND;
/// How long the recovery ramp of a removed route is retained after its last call.
pub(crate) const OUTAGE_RETENTION: Micros = 6 * ERROR_WINDOW;
/// Largest number of replicas whose probes alone cannot overload a destination.
pub(crate) const SMALL_FLEET: f64 = 6.0;

// Slow start

/// Multiple of an even share of the fleet's messages that the backlog of a replica must indicate to show that it receives
/// more messages than others, if nothing is known of the time before the outage.
pub(crate) const MIN_BACKLOG_RATIO: f64 = 4.0;
/// Largest variance of the number of evenly spaced calls of one replica in a span, in calls.
pub(crate) const MAX_PHASE_VARIANCE: f64 = 0.25;
/// Standard deviations of the number of calls of all replicas that the platform's allowance for chance must cover.
pub(crate) const COVERED_DEVIATIONS: f64 = 3.0;
/// Share of what that leaves of the allowance that calls with recovered messages may use.
pub(crate) const ALLOWANCE_USE: f64 = 0.75;

// Retry

/// Pause before the next attempt after an error, multiplied by the number of attempts so far.
pub(crate) const RETRY_BACKOFF: Micros = SECOND / 5;
/// Minimum number of rounds before its deadline at which a message gets its final answer.
pub(crate) const ANSWER_MARGIN_ROUNDS: u64 = 2;
/// Minimum time-out of a repeatable attempt, as a multiple of the expected latency times the number of attempts,
/// including this one.
pub(crate) const TIMEOUT_FACTOR: f64 = 10.0;
/// The time left before the deadline divided by this is another lower bound of that time-out.
pub(crate) const TIME_LEFT_DIVISOR: Micros = 3;
/// The window of an idempotency key divided by this is the maximum time-out of the first attempt with the key.
pub(crate) const KEY_WINDOW_DIVISOR: Micros = 2;

// Response confirmation

/// Span over which the longest response time of a host is measured.
pub(crate) const RESPONSE_TIME_SPAN: Micros = 30 * SECOND;
/// Number of response times of a host below which its longest one is not representative.
pub(crate) const MIN_RESPONSE_SAMPLES: u64 = 20;
/// Longest wait for a true response, as a multiple of the longest recent response time of its host.
pub(crate) const RESPONSE_WAIT_FACTOR: Micros = 2;
/// Shortest wait for a true response of a host with few samples, from the start of its call.
pub(crate) const INITIAL_RESPONSE_WAIT: Micros = SECOND / 4;
/// Longest wait for a true response, from the start of its call. Metrics lag behind by it, and may lag by half a second.
pub(crate) const MAX_RESPONSE_WAIT: Micros = 9 * SECOND / 20;
/// Shortest wait for a true response, from the response that was reported.
pub(crate) const MIN_SETTLING_TIME: Micros = SECOND / 50;
/// Least time by which a response has to come sooner than its host has ever answered, to be doubtful. Hosts on the same
/// machine differ by less from one response to the next.
pub(crate) const MIN_LEAD: Micros = SECOND / 1000;
/// How long a connection rests after a response, so that a copy which follows right behind arrives before the next request.
pub(crate) const CONNECTION_REST: Micros = SECOND / 10;
/// How long connections to a host are used for a single call after it has sent a surplus response.
pub(crate) const SURPLUS_QUARANTINE: Micros = 60 * SECOND;

// Limits and pacing

/// Weight of a reported limit, as a multiple of its relative difference from the known limit.
pub(crate) const LIMIT_WEIGHT_FACTOR: f64 = 2.0;
/// Lowest accepted limit, in calls per second. It is above zero so that calls to a route never stop completely.
pub(crate) const MIN_RATE: f64 = 0.3;
/// Highest accepted limit, in calls per second.
pub(crate) const MAX_RATE: f64 = 1e6;
/// Maximum factor by which one report changes the limit, up or down.
pub(crate) const MAX_LIMIT_STEP: f64 = 2.0;
/// Highest rate of this replica as a multiple of the limit.
pub(crate) const LIMIT_TOLERANCE: f64 = 1.1;
/// Highest rate of this replica as a multiple of the limit if the listed weights are rough.
pub(crate) const ROUGH_LIMIT_TOLERANCE: f64 = 1.5;
/// Depth of a route's token bucket in seconds of its rate, if no recovery ramp applies; at least one call.
pub(crate) const BUCKET_DEPTH_SECONDS: f64 = 0.6;
/// A rejection is due to the limit if less than this share of the allowance is left. It is above zero because reports
/// are noisy.
pub(crate) const EXHAUSTED_ALLOWANCE: f64 = 0.1;
/// The allowance is low if less than this share of it is left.
pub(crate) const LOW_ALLOWANCE: f64 = 0.3;
/// A rejection is not due to the limit if more than this share of the allowance is left.
pub(crate) const UNUSED_ALLOWANCE: f64 = 0.9;
/// Usage factor while the allowance is exhausted.
pub(crate) const EXHAUSTED_USAGE_FACTOR: f64 = 0.7;
/// Highest usage factor while the allowance is low.
pub(crate) const LOW_USAGE_FACTOR: f64 = 0.95;
/// Highest usage factor.
pub(crate) const MAX_USAGE_FACTOR: f64 = 4.0;
/// Relative growth of the usage factor with each report, multiplied by the share of the allowance left above the low
/// one.
pub(crate) const USAGE_FACTOR_GROWTH: f64 = 0.1;
/// Shortest first backoff, in seconds. Between the bounds, the first backoff is the interval of an even share of the
/// limit.
pub(crate) const FIRST_BACKOFF_MIN_SECONDS: f64 = 0.25;
/// Longest first backoff, in seconds.
pub(crate) const FIRST_BACKOFF_MAX_SECONDS: f64 = 2.0;
/// A rejection multiplies the backoff by this. Together with [`BACKOFF_DIVISOR`], one call in three is rejected under
/// load.
pub(crate) const BACKOFF_MULTIPLIER: Micros = 3;
/// A success divides the backoff by this.
pub(crate) const BACKOFF_DIVISOR: Micros = 2;
/// Longest backoff.
pub(crate) const MAX_BACKOFF: Micros = 20 * SECOND;
/// Longest backoff as a multiple of the interval of an even share, at which all replicas together use 0.7 of the limit.
pub(crate) const MAX_BACKOFF_FACTOR: f64 = 1.4;
/// A rejection multiplies the rate and the concurrency limit by this. The decrease is small because a second rejection
/// soon reduces them again.
pub(crate) const REJECTION_DECREASE: f64 = 0.8;
/// Increase of the rate with each success, as a share of the fair rate.
pub(crate) const RATE_GROWTH: f64 = 0.06;
/// A success multiplies the best rate by this, so that the best rate decays.
pub(crate) const BEST_RATE_DECAY: f64 = 0.99;
/// Time span over which this replica's rate of successes is measured, in seconds.
pub(crate) const RATE_SPAN_SECONDS: u64 = 3;
/// Maximum number of replicas that are assumed to be busy with one destination at a time.
pub(crate) const MAX_BUSY_REPLICAS: f64 = 3.0;

// Expected latency

/// Weight of a new sample in the moving average of a route.
pub(crate) const AVERAGE_WEIGHT: f64 = 0.15;
/// Share of that weight that applies to the moving average of a class, to which several routes contribute.
pub(crate) const CLASS_WEIGHT_SHARE: f64 = 0.3;
/// Lowest relative latency of a route, as a multiple of that of a class.
pub(crate) const MIN_RELATIVE_LATENCY: f64 = 0.2;
/// Highest relative latency of a route, as a multiple of that of a class.
pub(crate) const MAX_RELATIVE_LATENCY: f64 = 50.0;
/// The expected latency of a class without samples is its latency objective divided by this.
pub(crate) const OBJECTIVE_TO_LATENCY: f64 = 6.0;

// Slots and selection

/// Initial concurrency limit of a route.
pub(crate) const INITIAL_CONCURRENCY: f64 = 4.0;
/// Maximum share of all slots that a healthy route may hold.
pub(crate) const HEALTHY_SLOT_SHARE: f64 = 0.75;
/// Subtracted from the number of slots of a healthy route before rounding down, so that a whole number becomes one
/// less.
pub(crate) const HEALTHY_SLOT_MARGIN: f64 = 0.01;
/// Maximum share of all slots that a suspect route may hold. If half of all slots hung, calls to other routes would
/// stall.
pub(crate) const SUSPECT_SLOT_SHARE: f64 = 0.25;
/// Minimum number of slots for a route whose breaker is not closed.
pub(crate) const MIN_SUSPECT_SLOTS: f64 = 2.0;
/// Ratio of failures above which non-idempotent messages wait.
pub(crate) const RISKY_FAILURE_RATIO: f64 = 0.2;
/// Non-idempotent messages wait at such a route until this share of their time to live is left.
pub(crate) const RISKY_TIME_RESERVE: f64 = 0.25;
/// Time before a shutdown that an attempt with a repeatable message needs, as a multiple of the expected latency.
pub(crate) const SHUTDOWN_MARGIN_FACTOR: f64 = 2.0;
/// Cost of an ejected host, in units of one call in flight.
pub(crate) const EJECTED_HOST_COST: f64 = 100.0;
/// Cost of each consecutive failure of a host, in units of one call in flight.
pub(crate) const FAILURE_COST: f64 = 5.0;
/// Maximum number of consecutive failures that add to the cost.
pub(crate) const MAX_COSTED_FAILURES: u32 = 5;
/// Cost of one point of fees, in units of one call in flight.
pub(crate) const FEE_COST: f64 = 10.0;

// Queue and dispatch order

/// One part in this many of the queue is kept free for the arrivals of one round.
pub(crate) const QUEUE_HEADROOM_DIVISOR: usize = 10;
/// At most one in this many recovered messages may be rejected to free capacity. Most of them are then attempted even
/// after two restarts.
pub(crate) const RECOVERED_SHED_DIVISOR: usize = 4;
/// Additional cost of delay at the latency objective, as a share of the message's value. It is lower while the
/// objective is further away.
pub(crate) const EARLY_OBJECTIVE_COST: f64 = 0.02;
/// Delay for which the cost of delay is computed.
pub(crate) const DELAY_HORIZON: Micros = 3 * SECOND;
/// Maximum forecast of the time until a queued message is sent, in seconds.
pub(crate) const MAX_FORECAST_SECONDS: f64 = 60.0;
/// Minimum backoff of a route that such a forecast assumes.
pub(crate) const FORECAST_MIN_BACKOFF: Micros = SECOND / 20;
/// Minimum rate of a destination that such a forecast assumes, in calls per second.
pub(crate) const FORECAST_MIN_RATE: f64 = 0.1;
/// Recovered messages are attempted at least this long before their deadlines, in case the process stalls.
pub(crate) const STALL_RESERVE: Micros = SECOND / 4;
/// Retry-After for the clients of rejected messages, as a share of the longest Retry-After that they honour.
pub(crate) const RETRY_AFTER_SHARE: f64 = 0.75;

// Timer and discovery

/// Time after which a ready route with waiting messages is checked again if no event occurs earlier.
pub(crate) const READY_ROUTE_RECHECK: Micros = SECOND / 2;
/// First pause after a failure of discovery; it doubles with each further failure.
pub(crate) const MIN_POLL_BACKOFF: Micros = SECOND / 2;
/// The longest poll interval divided by this is the interval between polls that are not answered.
pub(crate) const POLL_INTERVAL_DIVISOR: Micros = 2;
/// The longest poll interval divided by this is the longest pause after a failure of discovery.
pub(crate) const POLL_BACKOFF_DIVISOR: Micros = 4;

/// Factor from 0.9 to 1.1 for a duration, so that replicas that observed the same event do not act simultaneously.
/// `chance` is a random number from 0 to 1.
pub(crate) fn jitter_factor(chance: f64) -> f64 {
    0.9 + 0.2 * chance
}

/// Expected latency of a class without samples, in microseconds.
pub(crate) fn initial_latency(class: &Class) -> f64 {
    class.latency_objective as f64 / OBJECTIVE_TO_LATENCY
}
