//! What is known of a route. The modules that decide on it add the methods that compare.

use serde::{Deserialize, Serialize};

use crate::rolling_window::RollingWindow;
use crate::token_bucket::TokenBucket;
use crate::tuning::{INITIAL_CONCURRENCY, MAX_USAGE_FACTOR};
use crate::types::{HostId, Micros};

/// State of a circuit breaker.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) enum BreakerState {
    /// Calls pass.
    #[default]
    Closed,
    /// One probe request is in flight.
    HalfOpen,
    /// No call passes until this moment.
    Open(Micros),
}

// HandoverSnapshot stores routes in a format that goes by position: the order of all fields below is fixed, and a
// struct among them stands for its fields.

/// Circuit breaker over a rolling window of call results.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct CircuitBreaker {
    pub(crate) state: BreakerState,
    pub(crate) window: RollingWindow,
    pub(crate) consecutive_failures: u32,
    /// When the first of the consecutive failures counted.
    pub(crate) failing_since: Micros,
    pub(crate) consecutive_rejections: u32,
    /// Since when rejections cannot be put down to the advertised limit.
    pub(crate) rejected_since: Micros,
    /// The last rejection can be put down to the limit.
    pub(crate) is_limit_likely: bool,
    /// The last failure proves that nothing was executed.
    pub(crate) last_failure_not_executed: bool,
}

/// What the destination says of its limit.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct AdvertisedLimit {
    /// Calls a second for all replicas together, as listed or reported.
    pub(crate) per_second: Option<f64>,
    /// Share of the allowance that the last answer left.
    pub(crate) remaining_allowance: Option<f64>,
    /// What this replica may use, as a multiple of its even share of the limit.
    pub(crate) usage_factor: f64,
}

/// How fast this replica calls the route.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Pacing {
    /// Calls a second, at most.
    pub(crate) rate: f64,
    /// Least time between calls after rejections; zero if there were none lately.
    pub(crate) backoff: Micros,
    /// Best rate of successes so far, in calls a second; it decays.
    pub(crate) best_rate: f64,
    pub(crate) bucket: TokenBucket,
    /// Calls in flight at most.
    pub(crate) concurrency_limit: f64,
}

/// An outage that this replica has seen, and the recovery from it.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Recovery {
    /// The recovery ramp applies.
    pub(crate) is_active: bool,
    pub(crate) down_since: Micros,
    /// The first success after the outage.
    pub(crate) recovered_at: Option<Micros>,
}

/// What is known of a route.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Route {
    /// Its hosts, in ascending order.
    pub(crate) hosts: Vec<HostId>,
    pub(crate) breaker: CircuitBreaker,
    /// End of the Retry-After of the destination.
    pub(crate) retry_after_until: Micros,
    /// End of the backoff after rejections.
    pub(crate) backoff_until: Micros,
    pub(crate) limit: AdvertisedLimit,
    pub(crate) pacing: Pacing,
    /// Calls in flight.
    pub(crate) in_flight: usize,
    /// Duration of its calls, as a multiple of that of the same class elsewhere.
    pub(crate) relative_latency: f64,
    /// Messages that wait for its destination.
    pub(crate) waiting_messages: usize,
    /// Calls a second at which recovered messages are attempted in time; zero if there are none.
    pub(crate) urgent_rate: f64,
    pub(crate) recovery: Recovery,
}

impl Route {
    /// A route of which nothing is known.
    pub(crate) fn initial() -> Self {
        let mut route = Route {
            relative_latency: 1.0,
            ..Route::default()
        };
        route.breaker.last_failure_not_executed = true;
        route.limit.usage_factor = MAX_USAGE_FACTOR;
        route.pacing = Pacing {
            rate: f64::INFINITY,
            bucket: TokenBucket::with_tokens(1.0),
            concurrency_limit: INITIAL_CONCURRENCY,
            ..Pacing::default()
        };
        route
    }
}
