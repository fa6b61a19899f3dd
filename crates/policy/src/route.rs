//! The record of a route. The decision modules add methods to it.

use serde::{Deserialize, Serialize};

use crate::rolling_window::RollingWindow;
use crate::token_bucket::TokenBucket;
use crate::tuning::{INITIAL_CONCURRENCY, MAX_USAGE_FACTOR};
use crate::types::{HostId, Micros};

/// State of a circuit breaker.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) enum BreakerState {
    /// Calls pass without restriction.
    #[default]
    Closed,
    /// A probe is in flight.
    HalfOpen,
    /// No call passes before this time; the first one after it is a probe.
    Open(Micros),
}

// HandoverSnapshot stores routes in a positional format: the order of all fields below is fixed, including the fields
// of nested structs.

/// Circuit breaker over a rolling window of call results.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct CircuitBreaker {
    pub(crate) state: BreakerState,
    pub(crate) window: RollingWindow,
    pub(crate) consecutive_failures: u32,
    /// Time of the first of the consecutive failures.
    pub(crate) failing_since: Micros,
    pub(crate) consecutive_rejections: u32,
    /// Time of the first consecutive rejection, or of the latest rejection at an exhausted allowance: later rejections
    /// cannot be attributed to the advertised limit.
    pub(crate) rejected_since: Micros,
    /// The last rejection can be attributed to the limit.
    pub(crate) is_limit_likely: bool,
    /// The last failed call, or the latest series of rejections, provably was not executed; initially true.
    pub(crate) last_failure_not_executed: bool,
}

/// The rate limit that a destination advertises.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct AdvertisedLimit {
    /// Calls per second for all replicas together, as listed by discovery or reported; `None` if unknown.
    pub(crate) per_second: Option<f64>,
    /// Share of the allowance left, from 0 to 1, by the last load report; `None` if it had none.
    pub(crate) remaining_allowance: Option<f64>,
    /// Maximum use by this replica, as a multiple of its even share of the limit.
    pub(crate) usage_factor: f64,
}

/// Rate, backoff and concurrency of this replica's calls to the route.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Pacing {
    /// Maximum calls per second.
    pub(crate) rate: f64,
    /// Minimum time between calls after rejections; zero if there were none recently.
    pub(crate) backoff: Micros,
    /// Highest rate of successes so far, in calls per second; it decays with each success.
    pub(crate) best_rate: f64,
    pub(crate) bucket: TokenBucket,
    /// Maximum number of calls in flight.
    pub(crate) concurrency_limit: f64,
}

impl Pacing {
    /// The highest rate of successes, as known at the start of an outage; `None` if there were no successes.
    pub(crate) fn known_success_rate(&self) -> Option<f64> {
        Some(self.best_rate).filter(|rate| *rate > 0.0)
    }
}

/// An outage that this replica has detected, and the recovery from it.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Recovery {
    /// The recovery ramp applies: during the outage and while the destination warms up.
    pub(crate) is_active: bool,
    pub(crate) down_since: Micros,
    /// Time of the first success after the outage; `None` while it lasts.
    pub(crate) recovered_at: Option<Micros>,
    /// Highest rate of successes before the outage, in calls per second; `None` if this process has seen none.
    #[serde(skip)]
    pub(crate) prior_rate: Option<f64>,
}

/// State of a route: a destination, or one of its hosts.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Route {
    /// Ready hosts of the route, in ascending order.
    pub(crate) hosts: Vec<HostId>,
    pub(crate) breaker: CircuitBreaker,
    /// End of the Retry-After that the destination or host has sent; 0 if there was none.
    pub(crate) retry_after_until: Micros,
    /// End of the backoff after rejections.
    pub(crate) backoff_until: Micros,
    pub(crate) limit: AdvertisedLimit,
    pub(crate) pacing: Pacing,
    /// Number of calls in flight.
    pub(crate) in_flight: usize,
    /// Duration of calls to this route, as a multiple of the mean duration of calls of the same class.
    pub(crate) relative_latency: f64,
    /// Number of messages that wait for the destination, divided among its routes.
    pub(crate) waiting_messages: usize,
    /// Calls per second needed to attempt recovered messages in time; zero if there are none.
    pub(crate) urgent_rate: f64,
    pub(crate) recovery: Recovery,
    /// Longest time left of a message that waits for the destination, which approximates how long messages wait at
    /// most.
    #[serde(skip)]
    pub(crate) waiting_lifetime: Micros,
}

impl Route {
    /// Creates the state of a route that has not been called and has no known limit.
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
