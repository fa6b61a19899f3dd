//! Log text and gauges for destinations and hosts. This module does not affect what is sent.

use crate::host_record::HostRecord;
use crate::route::{BreakerState, Route};
use crate::state::DeliveryPolicy;
use crate::types::{DestinationId, HostState, Micros};

impl DeliveryPolicy {
    /// State of a destination's routes as `key=value` pairs for the call log. The pairs of each route begin with
    /// `breaker`.
    #[must_use]
    pub fn describe_destination(&self, destination: DestinationId) -> String {
        let keys = self.routes_to(destination);
        let routes = keys.iter().filter_map(|key| self.routes.get(key));
        routes
            .map(|route| self.describe_route(route))
            .collect::<Vec<_>>()
            .join(" ")
    }

    /// Number of listed hosts that are out of regular use at `now`: draining or ejected hosts, and hosts of a route
    /// with a pending Retry-After or a circuit breaker that is not closed.
    #[must_use]
    pub fn ejected_hosts(&self, now: Micros) -> usize {
        let is_route_paused = |route: &Route| {
            route.breaker.state != BreakerState::Closed || route.retry_after_until > now
        };
        let is_host_paused =
            |host: &HostRecord| host.entry.state == HostState::Draining || host.ejected_until > now;
        let listed = self
            .hosts
            .iter()
            .filter(|(_, host)| host.entry.state != HostState::Removed);
        let ejected = listed.filter(|(id, host)| {
            let route = self.route_of(**id).and_then(|key| self.routes.get(&key));
            is_host_paused(host) || route.is_some_and(is_route_paused)
        });
        ejected.count()
    }

    /// State of a route for the call log, beginning with its circuit breaker. Rates are in calls per second; that of the
    /// slow start is -1 if there was no outage.
    fn describe_route(&self, route: &Route) -> String {
        let now = self.now;
        let state = match route.breaker.state {
            BreakerState::Closed => "closed",
            BreakerState::HalfOpen => "half_open",
            BreakerState::Open(_) => "open",
        };
        let pacing = &route.pacing;
        let paused_ms = route
            .backoff_until
            .max(route.retry_after_until)
            .saturating_sub(now)
            / 1000;
        let ramp = Some(self.recovery_ramp(route)).filter(|rate| rate.is_finite());
        format!(
            "breaker={state} pace={:.2} backoff_ms={} paused_ms={paused_ms} in_flight={} \
             concurrency_limit={:.1} advertised_limit={:.1} allowance={:.2} warming_up={} \
             slow_start_rate={:.2} waits_for={}",
            pacing.rate,
            pacing.backoff / 1000,
            route.in_flight,
            pacing.concurrency_limit,
            route.limit.per_second.unwrap_or(0.0),
            route.limit.remaining_allowance.unwrap_or(-1.0),
            u8::from(route.recovery.is_active),
            ramp.unwrap_or(-1.0),
            wait_reason(route, now),
        )
    }
}

/// What the next call of the route waits for.
fn wait_reason(route: &Route, now: Micros) -> &'static str {
    if route.retry_after_until > now {
        return "retry_after";
    }
    if route.backoff_until > now {
        return "backoff";
    }
    match route.breaker.state {
        BreakerState::Open(until) if until > now => "breaker",
        _ if route.pacing.bucket.tokens < 1.0 => "rate",
        _ => "nothing",
    }
}
